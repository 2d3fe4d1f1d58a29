#include "Sardineford/Common/Error.h"

namespace sardineford {

std::string_view toString(Executed r) {
  switch (r) {
  case Executed::No:
    return "no";
  case Executed::Yes:
    return "yes";
  case Executed::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view toString(ErrorKind k) {
  switch (k) {
  case ErrorKind::BadRequest:
    return "bad-request";
  case ErrorKind::NotFound:
    return "not-found";
  case ErrorKind::TooLarge:
    return "too-large";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::LimitReached:
    return "limit-reached";
  case ErrorKind::DeadlineTooShort:
    return "deadline-too-short";
  case ErrorKind::NotReady:
    return "not-ready";
  case ErrorKind::StoreUnavailable:
    return "store-unavailable";
  case ErrorKind::StoreAmbiguous:
    return "store-ambiguous";
  case ErrorKind::BackendFailed:
    return "backend-failed";
  case ErrorKind::OutcomeUnknown:
    return "outcome-unknown";
  case ErrorKind::LeaseLost:
    return "lease-lost";
  case ErrorKind::BadSettings:
    return "bad-settings";
  case ErrorKind::BadConfiguration:
    return "bad-configuration";
  }
  return "error";
}

} // namespace sardineford
