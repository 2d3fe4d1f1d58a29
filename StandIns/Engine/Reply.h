#pragma once

#include "Sardineford/Http/Message.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace sardineford::standins {

/// A member's text, or an empty one.
std::string textOf(const boost::json::object &o, std::string_view name);
/// A member's number, or 0.
uint64_t numberOf(const boost::json::object &o, std::string_view name);

/// Answers of the stand-in engine. Built outside coroutines, since GCC 12
/// rejects initializer lists in a co_await.
http::Response answer(unsigned status, boost::json::object body);
http::Response failure(unsigned status, std::string_view why);
http::Response done();
/// The engine takes no work; nothing was run.
http::Response refuse(std::string why);

} // namespace sardineford::standins
