#ifndef HYSSOPCROSS_PROTOCOL_OUTCOME_H
#define HYSSOPCROSS_PROTOCOL_OUTCOME_H

#include "hyssopcross/base/Error.h"
#include <string_view>

namespace hyssopcross::protocol {

/// What a caller is told about its request.
enum class Outcome {
  /// It ran once and this is its whole answer.
  Completed,
  /// It did not run and will not.
  NotRun,
  /// It may have run.
  Unknown,
};

/// The value of the outcome header.
const char *outcomeName(Outcome Value);

/// Parses the value of the outcome header; fails with Protocol.
Result<Outcome> parseOutcome(std::string_view Name);

/// The value of the Content-Digest header for a body.
std::string contentDigest(std::string_view Body);

} // namespace hyssopcross::protocol

#endif
