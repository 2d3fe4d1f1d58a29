#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace sardineford {

/// Whether a request reached a backend server and may have had an effect.
enum class Executed { No, Yes, Unknown };

/// Returns "no", "yes" or "unknown".
std::string_view toString(Executed r);

/// Error kinds that are reported to callers and operators.
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

/// Returns the kind in kebab case, as used in problem types.
std::string_view toString(ErrorKind k);

/// Base class of all errors of the project. The message describes the error,
/// Remedy says how the caller or the operator can correct it.
class Error : public std::runtime_error {
public:
  Error(ErrorKind kind, const std::string &message, std::string remedy)
      : std::runtime_error(message), Kind(kind), Remedy(std::move(remedy)) {}

  ErrorKind Kind;
  std::string Remedy;
};

} // namespace sardineford
