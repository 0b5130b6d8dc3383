#ifndef HYSSOPCROSS_RECORDS_TESTS_FAKESTORE_H
#define HYSSOPCROSS_RECORDS_TESTS_FAKESTORE_H

#include "Agenda.h"
#include <algorithm>

namespace hyssopcross::records::testing {

/// A table and an object store in virtual time that answer late, lose answers
/// before, after and long before the write takes effect, and go down.
class FakeStore {
public:
  explicit FakeStore(Agenda &Time) : m_Time(Time) {}

  bool m_Down = false;
  /// Share of commits whose answer is lost, in percent.
  uint32_t m_LostPercent = 0;
  Duration m_SlowBy{};
  std::map<std::string, store::Row> m_Rows;
  std::map<std::string, std::string> m_Objects;
  uint64_t m_Commits = 0;
  uint64_t m_RowWrites = 0;
  uint64_t m_Reads = 0;

  bool apply(const std::vector<store::Write> &Writes) {
    for (const store::Write &Write : Writes) {
      auto Row = m_Rows.find(Write.m_Key);
      uint64_t Version = Row == m_Rows.end() ? 0 : Row->second.m_Version;
      if (Version != Write.m_ExpectedVersion)
        return false;
    }
    for (const store::Write &Write : Writes)
      if (Write.m_Value)
        m_Rows[Write.m_Key] = {*Write.m_Value, ++m_LastVersion};
      else
        m_Rows.erase(Write.m_Key);
    m_Commits++;
    m_RowWrites += Writes.size();
    return true;
  }

  RowRead read(const ReadRow &Request) {
    m_Reads++;
    auto Row = m_Rows.find(Request.m_Key);
    if (m_Down || Row == m_Rows.end())
      return {Request.m_Request, !m_Down, {}};
    return {Request.m_Request, true, Row->second};
  }

  template <typename Reply> void perform(const ReadRow &Request, Reply To) {
    m_Time.in(latency(), [this, Request, To] {
      RowRead Read = read(Request);
      m_Time.in(latency(), [To, Read] { To(Read); });
    });
  }

  template <typename Reply> void perform(const ScanRows &Request, Reply To) {
    m_Time.in(latency(), [this, Request, To] {
      RowsScanned Scanned{Request.m_Request, !m_Down, {}};
      auto Row = m_Rows.lower_bound(Request.m_Prefix);
      for (; !m_Down && Row != m_Rows.end(); ++Row) {
        bool Within = Row->first.starts_with(Request.m_Prefix);
        if (!Within || Scanned.m_Rows.size() == Request.m_Limit)
          break;
        Scanned.m_Rows.insert(*Row);
      }
      To(Scanned);
    });
  }

  template <typename Reply> void perform(const CommitRows &Request, Reply To) {
    m_Time.in(latency(), [this, Request, To] {
      CommitEnded Ended{Request.m_Request, commit(Request.m_Writes)};
      m_Time.in(latency(), [To, Ended] { To(Ended); });
    });
  }

  template <typename Reply> void perform(const PutObject &Request, Reply To) {
    bool Done = !m_Down;
    if (Done)
      m_Objects[Request.m_Key] = Request.m_Body;
    ObjectEnd End = Done ? ObjectEnd::Done : ObjectEnd::Failed;
    m_Time.in(latency(), [=] { To(ObjectEnded{Request.m_Request, End, {}}); });
  }

  template <typename Reply> void perform(const GetObject &Request, Reply To) {
    ObjectEnded Ended{Request.m_Request, ObjectEnd::Failed, {}};
    auto Found = m_Objects.find(Request.m_Key);
    if (!m_Down && Found == m_Objects.end())
      Ended.m_End = ObjectEnd::NotFound;
    if (!m_Down && Found != m_Objects.end())
      Ended = {Request.m_Request, ObjectEnd::Done, Found->second};
    m_Time.in(latency(), [=] { To(Ended); });
  }

  void perform(const RemoveObject &Request) { m_Objects.erase(Request.m_Key); }

private:
  Duration latency() {
    using std::chrono::milliseconds;
    return m_SlowBy + m_Time.between(milliseconds(1), milliseconds(6));
  }

  CommitEnd commit(const std::vector<store::Write> &Writes) {
    if (m_Down)
      return m_Time.chance(50) ? CommitEnd::Unavailable : lose(Writes);
    if (m_Time.chance(m_LostPercent))
      return lose(Writes);
    return apply(Writes) ? CommitEnd::Committed : CommitEnd::Conflict;
  }

  /// The answer is lost: the write took effect, never does, or does so later.
  CommitEnd lose(const std::vector<store::Write> &Writes) {
    uint64_t Kind = m_Time.below(3);
    if (Kind == 1)
      apply(Writes);
    if (Kind == 2)
      m_Time.in(m_Time.between({}, std::chrono::seconds(2)),
                [this, Writes] { apply(Writes); });
    return CommitEnd::Unknown;
  }

  Agenda &m_Time;
  uint64_t m_LastVersion = 0;
};

} // namespace hyssopcross::records::testing

#endif
