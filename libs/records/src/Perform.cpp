#include "hyssopcross/records/Perform.h"

namespace hyssopcross::records {

RowRead perform(store::Table &Table, const ReadRow &Request) {
  auto Read = Table.read(Request.m_Key);
  if (!Read)
    return {Request.m_Request, false, {}};
  return {Request.m_Request, true, Read.value()};
}

RowsScanned perform(store::Table &Table, const ScanRows &Request) {
  auto Scanned = Table.scan(Request.m_Prefix, Request.m_Limit);
  if (!Scanned)
    return {Request.m_Request, false, {}};
  return {Request.m_Request, true, Scanned.value()};
}

CommitEnded perform(store::Table &Table, const CommitRows &Request) {
  auto Ended = Table.commit(Request.m_Writes);
  if (Ended)
    return {Request.m_Request, Ended.value() == store::CommitResult::Committed
                                   ? CommitEnd::Committed
                                   : CommitEnd::Conflict};
  bool NoEffect = Ended.error().m_Code == ErrorCode::Unavailable;
  return {Request.m_Request,
          NoEffect ? CommitEnd::Unavailable : CommitEnd::Unknown};
}

ObjectEnded perform(store::ObjectStore &Store, const PutObject &Request) {
  auto Stored = Store.put(Request.m_Key, Request.m_Body);
  return {Request.m_Request, Stored ? ObjectEnd::Done : ObjectEnd::Failed, {}};
}

ObjectEnded perform(store::ObjectStore &Store, const GetObject &Request) {
  auto Read = Store.get(Request.m_Key);
  if (Read)
    return {Request.m_Request, ObjectEnd::Done, std::move(Read).value()};
  bool Absent = Read.error().m_Code == ErrorCode::NotFound;
  return {
      Request.m_Request, Absent ? ObjectEnd::NotFound : ObjectEnd::Failed, {}};
}

void perform(store::ObjectStore &Store, const RemoveObject &Request) {
  (void)Store.remove(Request.m_Key);
}

} // namespace hyssopcross::records
