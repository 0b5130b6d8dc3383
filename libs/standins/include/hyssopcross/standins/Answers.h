#ifndef HYSSOPCROSS_STANDINS_ANSWERS_H
#define HYSSOPCROSS_STANDINS_ANSWERS_H

#include "hyssopcross/base/Error.h"
#include <cstdint>
#include <string>
#include <string_view>

/// The bodies that backend servers answer with. Each depends only on its
/// request and, for money, on the receipt, so that a caller can check that an
/// answer belongs to its request.
namespace hyssopcross::standins {

/// The answer to a lookup of Target, which is the path with the query.
std::string lookupAnswer(std::string_view Service, std::string_view Target);

/// The answer to a money request.
std::string moneyAnswer(std::string_view Service, std::string_view Key,
                        uint64_t Amount, std::string_view Receipt);

/// The answer to an upload. Its receipt is the digest.
std::string uploadAnswer(std::string_view Service, std::string_view Key,
                         std::string_view Digest, uint64_t Length);

/// The body of a money request.
std::string moneyRequest(uint64_t Amount);

/// The amount of a money request; fails with InvalidInput.
Result<uint64_t> parseAmount(std::string_view Body);

/// The receipt named by the answer to a money request; fails with Protocol.
Result<std::string> parseReceipt(std::string_view Body);

} // namespace hyssopcross::standins

#endif
