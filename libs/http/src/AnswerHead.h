#ifndef HYSSOPCROSS_HTTP_SRC_ANSWERHEAD_H
#define HYSSOPCROSS_HTTP_SRC_ANSWERHEAD_H

#include "hyssopcross/http/Message.h"
#include <chrono>
#include <optional>

namespace hyssopcross::http {

/// The seconds that a Keep-Alive header names as "timeout=N".
std::optional<std::chrono::seconds> statedTimeout(const Fields &Headers);

/// Whether the body of an answer has no transfer coding but chunked. Another
/// one would be lost where the body is passed on.
bool hasKnownCoding(const Fields &Headers);

} // namespace hyssopcross::http

#endif
