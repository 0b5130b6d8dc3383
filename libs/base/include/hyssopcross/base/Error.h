#ifndef HYSSOPCROSS_BASE_ERROR_H
#define HYSSOPCROSS_BASE_ERROR_H

#include <boost/outcome/result.hpp>
#include <string>

namespace hyssopcross {

/// What went wrong, for code that decides on it.
enum class ErrorCode {
  /// The input is malformed or out of range.
  InvalidInput,
  /// The thing named does not exist.
  NotFound,
  /// The state has changed since the caller read it.
  Conflict,
  /// The other side was not reached; nothing took effect there.
  Unavailable,
  /// The other side may or may not have acted.
  Unknown,
  /// The answer did not keep to the protocol.
  Protocol,
  /// A limit on size, count or rate was exceeded.
  LimitExceeded,
  /// The time allowed has passed.
  DeadlineExceeded,
};

/// The stable lower-case name of a code, as it appears in logs and JSON.
const char *errorCodeName(ErrorCode Code);

/// An error as a value: a code for programs and a sentence for people.
struct Error {
  ErrorCode m_Code = ErrorCode::InvalidInput;
  std::string m_Message;
};

/// Either a value or an error. Taking the value of a failed result stops the
/// process, because it is a broken invariant.
template <typename Value>
using Result = boost::outcome_v2::result<Value, Error,
                                         boost::outcome_v2::policy::terminate>;

/// Builds a failed result of any value type.
inline auto fail(ErrorCode Code, std::string Message) {
  return boost::outcome_v2::failure(Error{Code, std::move(Message)});
}

} // namespace hyssopcross

#endif
