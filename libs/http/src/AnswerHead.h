#ifndef HYSSOPCROSS_HTTP_SRC_ANSWERHEAD_H
#define HYSSOPCROSS_HTTP_SRC_ANSWERHEAD_H

#include "hyssopcross/http/Message.h"
#include <chrono>
#include <optional>
#include <string_view>

namespace hyssopcross::http {

/// The seconds that a Keep-Alive header names as "timeout=N".
std::optional<std::chrono::seconds> statedTimeout(const Fields &Headers);

/// Whether the body of an answer has no transfer coding but chunked. Another
/// one would be lost where the body is passed on.
bool hasKnownCoding(const Fields &Headers);

/// Whether a line of a head begins with a blank. The parser folds it into the
/// field before it, as RFC 9112, section 5.2, allows, and that hides a field
/// whose name has a blank in front.
bool hasFoldedLine(std::string_view Head);

} // namespace hyssopcross::http

#endif
