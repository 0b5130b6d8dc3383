#ifndef HYSSOPCROSS_RECORDS_TESTS_FAKETABLE_H
#define HYSSOPCROSS_RECORDS_TESTS_FAKETABLE_H

#include "hyssopcross/platform/Ports.h"

namespace hyssopcross::records::testing {

/// A table behind the port that fails as it is told.
class FakeTable final : public platform::Table {
public:
  std::optional<ErrorCode> m_FailReads;
  std::optional<ErrorCode> m_FailCommits;
  /// Failed commits take effect all the same.
  bool m_ApplyFailed = false;
  std::map<std::string, platform::Row> m_Rows;

  Result<std::optional<platform::Row>> read(std::string_view Key) override {
    if (m_FailReads)
      return fail(*m_FailReads, "the table is down");
    auto Row = m_Rows.find(std::string(Key));
    if (Row == m_Rows.end())
      return std::optional<platform::Row>();
    return std::optional(Row->second);
  }

  Result<std::map<std::string, platform::Row>> scan(std::string_view,
                                                    size_t) override {
    return m_Rows;
  }

  Result<platform::CommitResult>
  commit(std::span<const platform::Write> Writes) override {
    if (!m_FailCommits)
      return apply(Writes);
    if (m_ApplyFailed)
      apply(Writes);
    return fail(*m_FailCommits, "the answer was lost");
  }

private:
  platform::CommitResult apply(std::span<const platform::Write> Writes) {
    for (const platform::Write &Write : Writes) {
      auto Row = m_Rows.find(Write.m_Key);
      uint64_t Version = Row == m_Rows.end() ? 0 : Row->second.m_Version;
      if (Version != Write.m_ExpectedVersion)
        return platform::CommitResult::Conflict;
    }
    for (const platform::Write &Write : Writes)
      if (Write.m_Value)
        m_Rows[Write.m_Key] = {*Write.m_Value, ++m_LastVersion};
      else
        m_Rows.erase(Write.m_Key);
    return platform::CommitResult::Committed;
  }

  uint64_t m_LastVersion = 0;
};

} // namespace hyssopcross::records::testing

#endif
