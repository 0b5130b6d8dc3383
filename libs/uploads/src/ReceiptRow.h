#ifndef HYSSOPCROSS_UPLOADS_RECEIPTROW_H
#define HYSSOPCROSS_UPLOADS_RECEIPTROW_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/uploads/Events.h"

namespace hyssopcross::uploads {

/// Writes and reads the row of an upload that was held; reading fails with
/// Protocol.
std::string writeReceipt(const Receipt &Value);
Result<Receipt> readReceipt(std::string_view Value);

/// A row that says when an upload is to be looked at: to deliver it, or to
/// forget its receipt. Its key starts with the instant, so that a scan finds
/// the earliest first.
struct DueRow {
  std::string m_Key;
  uint32_t m_Tries = 0;
};

std::string duePrefix(std::string_view Service);
std::string dueRowKey(std::string_view Service, WallTime Due,
                      std::string_view Key);
/// The instant of a due row's key; none if it is malformed.
std::optional<WallTime> dueTime(std::string_view Service,
                                std::string_view DueKey);
std::string writeDueRow(const DueRow &Row);
Result<DueRow> readDueRow(std::string_view Value);

} // namespace hyssopcross::uploads

#endif
