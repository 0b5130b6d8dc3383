#ifndef HYSSOPCROSS_ENTRY_RECORDANSWERS_H
#define HYSSOPCROSS_ENTRY_RECORDANSWERS_H

#include "hyssopcross/claims/Events.h"
#include "hyssopcross/entry/Call.h"
#include "hyssopcross/uploads/Events.h"

namespace hyssopcross::entry {

/// The answer to a caller for the final answer of a claim.
CallerAnswer answerMoney(const claims::Answer &Answer);

/// The answer to a caller for the final answer of an upload or a receipt.
CallerAnswer answerUpload(const uploads::Answer &Answer);

} // namespace hyssopcross::entry

#endif
