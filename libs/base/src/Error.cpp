#include "hyssopcross/base/Error.h"

namespace hyssopcross {

const char *errorCodeName(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidInput:
    return "invalid-input";
  case ErrorCode::NotFound:
    return "not-found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Unknown:
    return "unknown";
  case ErrorCode::Protocol:
    return "protocol";
  case ErrorCode::LimitExceeded:
    return "limit-exceeded";
  case ErrorCode::DeadlineExceeded:
    return "deadline-exceeded";
  }
  return "invalid-input";
}

} // namespace hyssopcross
