#pragma once

#include "Sardineford/Http/CallerBounds.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace sardineford::http {

/// Body of a request that takes memory as its bytes arrive. Beast's string_body
/// reserves the announced length at once and doubles otherwise.
struct GrowingBody {
  using value_type = std::string;

  // Beast requires this name.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> & /*head*/,
           value_type &body)
        : Body(body) {}

    void init(const boost::optional<uint64_t> &length,
              boost::beast::error_code &ec) {
      ec = {};
      Announced = length ? static_cast<size_t>(*length) : 0;
    }

    template <class Buffers>
    size_t put(const Buffers &buffers, boost::beast::error_code &ec) {
      ec = {};
      size_t n = boost::beast::buffer_bytes(buffers);
      size_t capacity =
          nextBodyCapacity(Body.capacity(), Body.size() + n, Announced);
      if (capacity > Body.capacity()) {
        // std::string::reserve at least doubles the capacity.
        std::string grown;
        grown.reserve(capacity);
        grown.append(Body);
        Body.swap(grown);
      }
      for (auto it : boost::beast::buffers_range_ref(buffers))
        Body.append(static_cast<const char *>(it.data()), it.size());
      return n;
    }

    void finish(boost::beast::error_code &ec) { ec = {}; }

  private:
    std::string &Body;
    size_t Announced = 0;
  };
};

} // namespace sardineford::http
