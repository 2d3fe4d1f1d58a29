#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace sardineford::metrics {

/// Bounds the number of values of a label. The values that come first keep
/// their own series; all later ones share that of "other".
class BoundedLabel {
public:
  /// `maxValues` includes "other".
  explicit BoundedLabel(size_t maxValues) : MaxValues(maxValues) {}

  std::string valueFor(const std::string &value) {
    if (Values.contains(value))
      return value;
    if (Values.size() + 1 >= MaxValues)
      return "other";
    return *Values.insert(value).first;
  }

private:
  size_t MaxValues;
  std::set<std::string> Values;
};

} // namespace sardineford::metrics
