#include "hyssopcross/entry/StoreAccess.h"

namespace hyssopcross::entry {

namespace {

/// Requests that wait for a worker.
constexpr size_t MaxWaiting = 2048;

records::CommitEnd commitEnd(const Result<store::CommitResult> &Committed) {
  if (Committed)
    return Committed.value() == store::CommitResult::Committed
               ? records::CommitEnd::Committed
               : records::CommitEnd::Conflict;
  return Committed.error().m_Code == ErrorCode::Unknown
             ? records::CommitEnd::Unknown
             : records::CommitEnd::Unavailable;
}

records::ObjectEnd objectEnd(ErrorCode Code) {
  return Code == ErrorCode::NotFound ? records::ObjectEnd::NotFound
                                     : records::ObjectEnd::Failed;
}

} // namespace

StoreAccess::StoreAccess(store::Table &Table, store::ObjectStore &Objects,
                         Workers &Threads)
    : m_Table(Table), m_Objects(Objects), m_Threads(Threads) {}

void StoreAccess::run(const records::ReadRow &Request,
                      const std::function<void(records::RowRead)> &Answer) {
  bool Posted = m_Threads.post(
      [this, Request, Answer] {
        auto Read = m_Table.read(Request.m_Key);
        records::RowRead Event{Request.m_Request, Read.has_value(), {}};
        if (Read)
          Event.m_Row = std::move(Read.value());
        Answer(std::move(Event));
      },
      MaxWaiting);
  if (!Posted)
    Answer({Request.m_Request, false, {}});
}

void StoreAccess::run(const records::ScanRows &Request,
                      const std::function<void(records::RowsScanned)> &Answer) {
  bool Posted = m_Threads.post(
      [this, Request, Answer] {
        auto Rows = m_Table.scan(Request.m_Prefix, Request.m_Limit);
        records::RowsScanned Event{Request.m_Request, Rows.has_value(), {}};
        if (Rows)
          Event.m_Rows = std::move(Rows.value());
        Answer(std::move(Event));
      },
      MaxWaiting);
  if (!Posted)
    Answer({Request.m_Request, false, {}});
}

void StoreAccess::run(const records::CommitRows &Request,
                      const std::function<void(records::CommitEnded)> &Answer) {
  bool Posted = m_Threads.post(
      [this, Request, Answer] {
        auto Committed = m_Table.commit(Request.m_Writes);
        Answer({Request.m_Request, commitEnd(Committed)});
      },
      MaxWaiting);
  if (!Posted)
    Answer({Request.m_Request, records::CommitEnd::Unavailable});
}

void StoreAccess::run(const records::PutObject &Request,
                      const std::function<void(records::ObjectEnded)> &Answer) {
  bool Posted = m_Threads.post(
      [this, Request, Answer] {
        auto Put = m_Objects.put(Request.m_Key, Request.m_Body);
        records::ObjectEnd End =
            Put ? records::ObjectEnd::Done : records::ObjectEnd::Failed;
        Answer({Request.m_Request, End, {}});
      },
      MaxWaiting);
  if (!Posted)
    Answer({Request.m_Request, records::ObjectEnd::Failed, {}});
}

void StoreAccess::run(const records::GetObject &Request,
                      const std::function<void(records::ObjectEnded)> &Answer) {
  bool Posted = m_Threads.post(
      [this, Request, Answer] {
        auto Got = m_Objects.get(Request.m_Key);
        if (Got)
          Answer({Request.m_Request, records::ObjectEnd::Done,
                  std::move(Got.value())});
        else
          Answer({Request.m_Request, objectEnd(Got.error().m_Code), {}});
      },
      MaxWaiting);
  if (!Posted)
    Answer({Request.m_Request, records::ObjectEnd::Failed, {}});
}

void StoreAccess::run(const records::RemoveObject &Request) {
  m_Threads.post(
      [this, Request] {
        // Removal is tried once; the sweep of expired rows comes again.
        (void)m_Objects.remove(Request.m_Key).has_value();
      },
      MaxWaiting);
}

} // namespace hyssopcross::entry
