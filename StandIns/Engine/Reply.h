#pragma once

#include "Sardineford/Http/Message.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace sardineford::standins {

/// Returns a string field, or an empty string if it is missing.
std::string stringField(const boost::json::object &o, std::string_view name);
/// Returns a number field, or 0 if it is missing.
uint64_t numberField(const boost::json::object &o, std::string_view name);

/// Build the responses of the stand-in engine. They are functions, since GCC 12
/// rejects initializer lists in a co_await expression.
http::Response makeResponse(unsigned status, boost::json::object body);
http::Response makeError(unsigned status, std::string_view reason);
http::Response makeDone();
/// Response to a request that was rejected before execution.
http::Response makeRejection(std::string reason);

} // namespace sardineford::standins
