#include "Peers/RelayCodec.h"

#include "Messages/Messages.pb.h"

#include <boost/asio/ip/address_v4.hpp>

#include <map>
#include <optional>
#include <string_view>

namespace sardineford::peers {

namespace {

namespace ip = boost::asio::ip;

constexpr size_t AddressBytes = 4;
constexpr size_t EndpointBytes = AddressBytes + 2;

std::optional<ip::address_v4> addressOf(const http::Endpoint &e) {
  boost::system::error_code ec;
  ip::address_v4 out = ip::make_address_v4(e.Host, ec);
  return ec ? std::nullopt : std::make_optional(out);
}

void append(const http::Endpoint &e, ip::address_v4 address, std::string &out) {
  for (unsigned char it : address.to_bytes())
    out.push_back(static_cast<char>(it));
  out.push_back(static_cast<char>(e.Port >> 8U));
  out.push_back(static_cast<char>(e.Port & 0xffU));
}

http::Endpoint readEndpoint(std::string_view bytes) {
  auto at = [&](size_t i) { return static_cast<unsigned char>(bytes[i]); };
  ip::address_v4 address({at(0), at(1), at(2), at(3)});
  auto port = static_cast<uint16_t>((at(4) << 8U) | at(5));
  return {address.to_string(), port};
}

} // namespace

bool isCompact(const http::Endpoint &address) {
  return addressOf(address).has_value();
}

void encodeProcesses(const std::vector<RunningProcess> &processes,
                     messages::GroupRelay &out) {
  std::map<std::string, std::string> byDomain;
  for (const RunningProcess &it : processes)
    if (std::optional<ip::address_v4> address = addressOf(it.Address))
      append(it.Address, *address, byDomain[it.FailureDomain]);
  for (auto &[domain, endpoints] : byDomain) {
    messages::DomainProcesses *p = out.add_running();
    p->set_failure_domain(domain);
    p->set_endpoints(std::move(endpoints));
  }
}

std::vector<RunningProcess> decodeProcesses(const messages::GroupRelay &in) {
  std::vector<RunningProcess> out;
  for (const messages::DomainProcesses &it : in.running()) {
    std::string_view bytes = it.endpoints();
    for (; bytes.size() >= EndpointBytes; bytes.remove_prefix(EndpointBytes))
      out.push_back({it.failure_domain(), readEndpoint(bytes)});
  }
  return out;
}

} // namespace sardineford::peers
