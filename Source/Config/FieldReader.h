#pragma once

#include "Sardineford/Config/Objects.h"

#include <boost/json/object.hpp>

#include <set>
#include <string>
#include <vector>

namespace sardineford::config {

/// Reads the fields of one object's spec and records every validation error.
class FieldReader {
public:
  FieldReader(const boost::json::object &spec, std::string object,
              std::vector<ValidationError> &errors)
      : Spec(spec), Object(std::move(object)), Errors(errors) {}

  void text(const char *name, std::string &out, bool required);
  void integer(const char *name, int64_t &out, int64_t min, int64_t max);
  void number(const char *name, double &out, double min, double max);
  void milliseconds(const char *name, Milliseconds &out, int64_t min,
                    int64_t max);
  void boolean(const char *name, bool &out);
  void names(const char *name, std::vector<std::string> &out);
  /// Records an error for each field that was not read before.
  void rejectUnknownFields();

  void addError(const std::string &field, std::string message,
                std::string remedy);

private:
  const boost::json::value *findField(const char *name);

  const boost::json::object &Spec;
  std::string Object;
  std::vector<ValidationError> &Errors;
  std::set<std::string> KnownFields;
};

} // namespace sardineford::config
