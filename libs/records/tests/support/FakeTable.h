#ifndef HYSSOPCROSS_RECORDS_TESTS_FAKETABLE_H
#define HYSSOPCROSS_RECORDS_TESTS_FAKETABLE_H

#include "hyssopcross/store/Ports.h"

namespace hyssopcross::records::testing {

/// A table behind the port that fails as it is told.
class FakeTable final : public store::Table {
public:
  std::optional<ErrorCode> m_FailReads;
  std::optional<ErrorCode> m_FailCommits;
  /// Failed commits take effect all the same.
  bool m_ApplyFailed = false;
  std::map<std::string, store::Row> m_Rows;

  Result<std::optional<store::Row>> read(std::string_view Key) override {
    if (m_FailReads)
      return fail(*m_FailReads, "the table is down");
    auto Row = m_Rows.find(std::string(Key));
    if (Row == m_Rows.end())
      return std::optional<store::Row>();
    return std::optional(Row->second);
  }

  Result<std::map<std::string, store::Row>> scan(std::string_view,
                                                 size_t) override {
    return m_Rows;
  }

  Result<store::CommitResult>
  commit(std::span<const store::Write> Writes) override {
    if (!m_FailCommits)
      return apply(Writes);
    if (m_ApplyFailed)
      apply(Writes);
    return fail(*m_FailCommits, "the answer was lost");
  }

private:
  store::CommitResult apply(std::span<const store::Write> Writes) {
    for (const store::Write &Write : Writes) {
      auto Row = m_Rows.find(Write.m_Key);
      uint64_t Version = Row == m_Rows.end() ? 0 : Row->second.m_Version;
      if (Version != Write.m_ExpectedVersion)
        return store::CommitResult::Conflict;
    }
    for (const store::Write &Write : Writes)
      if (Write.m_Value)
        m_Rows[Write.m_Key] = {*Write.m_Value, ++m_LastVersion};
      else
        m_Rows.erase(Write.m_Key);
    return store::CommitResult::Committed;
  }

  uint64_t m_LastVersion = 0;
};

} // namespace hyssopcross::records::testing

#endif
