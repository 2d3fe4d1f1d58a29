#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace sardineford {

/// Whether a request reached a backend server and may have had an effect.
enum class RunState { No, Yes, Unknown };

/// Returns "no", "yes" or "unknown".
std::string_view toString(RunState r);

/// Kinds of failure that a caller or an operator can see.
enum class ErrorKind {
  BadRequest,
  NotFound,
  TooLarge,
  Conflict,
  LimitReached,
  DeadlineTooShort,
  NotReady,
  StoreUnavailable,
  StoreAmbiguous,
  BackendFailed,
  OutcomeUnknown,
  LeaseLost,
  BadSettings,
  BadConfiguration,
};

/// Returns the kind as a kebab-case word, as used in problem types.
std::string_view toString(ErrorKind k);

/// Base of all errors of the project. The message states what is wrong, the
/// remedy what the reader can do about it.
class Error : public std::runtime_error {
public:
  Error(ErrorKind kind, const std::string &message, std::string remedy)
      : std::runtime_error(message), Kind(kind), Remedy(std::move(remedy)) {}

  ErrorKind Kind;
  std::string Remedy;
};

} // namespace sardineford
