#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/discovery/Table.h"
#include <doctest/doctest.h>
#include <optional>
#include <random>

using namespace hyssopcross;
using namespace hyssopcross::discovery;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

Revision at(uint64_t Version, uint64_t Era = 1) { return {Era, Version}; }

RowBatch snapshot(std::vector<Row> Rows, uint64_t Version, uint64_t Era = 1) {
  RowBatch Batch;
  Batch.m_Rows = std::move(Rows);
  Batch.m_UpTo = at(Version, Era);
  Batch.m_IsSnapshot = true;
  return Batch;
}

RowBatch changes(std::vector<Row> Rows, uint64_t Version, uint64_t Era = 1) {
  RowBatch Batch = snapshot(std::move(Rows), Version, Era);
  Batch.m_IsSnapshot = false;
  return Batch;
}

} // namespace

TEST_CASE("a copy applies contiguous batches and ignores outdated ones") {
  struct Case {
    const char *m_Name;
    RowBatch m_Batch;
    uint64_t m_After;
    size_t m_Changed;
    uint64_t m_UpToVersion;
  };
  // The batches are applied in order to the same copy.
  const Case Cases[] = {
      {"changes before a snapshot", changes({{"a", "1", 1}}, 1), 0, 0, 0},
      {"the first snapshot", snapshot({{"a", "1", 1}, {"b", "1", 2}}, 5), 0, 2,
       5},
      {"a change", changes({{"a", "2", 6}}, 6), 5, 1, 6},
      {"the same change from another source", changes({{"a", "2", 6}}, 6), 5, 0,
       6},
      {"a batch that overlaps with the copy",
       changes({{"a", "2", 6}, {"c", "1", 7}}, 7), 5, 1, 7},
      {"a batch that leaves a gap", changes({{"d", "1", 9}}, 9), 8, 0, 7},
      {"a removal", changes({{"b", "", 8, true}}, 8), 7, 1, 8},
      {"an outdated snapshot", snapshot({{"b", "1", 2}}, 7), 0, 0, 8},
      {"a snapshot without a row", snapshot({{"a", "2", 6}}, 10), 0, 1, 10},
  };
  Table Copy;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    CHECK(applyBatch(Copy, Each.m_Batch, at(Each.m_After), Start).size() ==
          Each.m_Changed);
    CHECK(Copy.m_UpTo.m_Version == Each.m_UpToVersion);
  }
  CHECK(Copy.m_Rows.size() == 1);
}

TEST_CASE("a copy tracks the version of the last change to its table") {
  struct Case {
    const char *m_Name;
    RowBatch m_Batch;
    uint64_t m_After;
    uint64_t m_LastChangeVersion;
  };
  // The batches are applied in order to the same copy.
  const Case Cases[] = {
      {"a snapshot, whose removals are unknown", snapshot({{"a", "1", 1}}, 5),
       0, 5},
      {"transactions of other tables", changes({}, 9), 5, 5},
      {"a change", changes({{"a", "2", 11}}, 12), 9, 11},
      {"the same change from another source", changes({{"a", "2", 11}}, 14), 9,
       11},
      {"a removal", changes({{"a", "", 15, true}}, 15), 14, 15},
      {"an older change", changes({{"b", "1", 13}}, 13), 9, 15},
  };
  Table Copy;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    applyBatch(Copy, Each.m_Batch, at(Each.m_After), Start);
    CHECK(Copy.m_LastChange.m_Version == Each.m_LastChangeVersion);
  }
}

TEST_CASE("followers of a copy converge to it even if they miss updates") {
  for (uint32_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    Table Source;
    applyBatch(Source, snapshot({}, 1), {}, Start);
    std::vector<Table> Followers(3);
    uint64_t Version = 1;
    for (int I = 0; I < 1500; ++I) {
      std::string Key = "k" + std::to_string(Random() % 700);
      bool Removed = Source.m_Rows.count(Key) && Random() % 2;
      ++Version;
      applyBatch(Source, changes({{Key, "v", Version, Removed}}, Version),
                 at(Version - 1), Start);
      for (Table &Each : Followers) {
        if (Random() % 4)
          continue;
        Revision After = Each.m_IsComplete ? Each.m_UpTo : Revision();
        Revision Before = Each.m_UpTo;
        applyBatch(Each, changesAfter(Source, After), After, Start);
        CHECK(Each.m_UpTo >= Before);
      }
    }
    for (Table &Each : Followers) {
      Revision After = Each.m_IsComplete ? Each.m_UpTo : Revision();
      applyBatch(Each, changesAfter(Source, After), After, Start);
      REQUIRE(Each.m_Rows.size() == Source.m_Rows.size());
      for (const auto &[Key, Row] : Source.m_Rows)
        CHECK(Each.m_Rows.at(Key).m_Version == Row.m_Version);
    }
  }
}

TEST_CASE("rows forwarded by several followers leave no gap") {
  // Guards against a follower that receives newer rows from a peer and then
  // forwards an older response as if it reached the version of its own copy.
  for (uint32_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    struct Follower {
      Table m_Copy;
      Revision m_After;
      Revision m_ChangedBefore;
      std::optional<RowBatch> m_Response;
    };
    Table Source;
    applyBatch(Source, snapshot({}, 1), {}, Start);
    std::vector<Follower> Followers(3);
    Table Receiver;
    for (Follower &Each : Followers)
      applyBatch(Each.m_Copy, snapshot({}, 1), {}, Start);
    applyBatch(Receiver, snapshot({}, 1), {}, Start);
    // Row versions in the source at each table version.
    std::map<uint64_t, std::map<std::string, uint64_t>> History;
    std::map<std::string, uint64_t> SourceRows;
    History[1] = SourceRows;
    uint64_t Version = 1;
    for (int I = 0; I < 2000; ++I) {
      if (Random() % 3 == 0) {
        std::string Key = "k" + std::to_string(Random() % 20);
        bool Removed = SourceRows.count(Key) && Random() % 2;
        ++Version;
        applyBatch(Source, changes({{Key, "v", Version, Removed}}, Version),
                   at(Version - 1), Start);
        if (Removed)
          SourceRows.erase(Key);
        else
          SourceRows[Key] = Version;
        History[Version] = SourceRows;
      }
      Follower &Active = Followers[Random() % Followers.size()];
      if (!Active.m_Response) {
        // Send a request. The response is created now and arrives later.
        Active.m_After = Active.m_Copy.m_UpTo;
        Active.m_ChangedBefore = Active.m_Copy.m_LastChange;
        Active.m_Response = changesAfter(Source, Active.m_After);
        continue;
      }
      RowBatch Response = *std::exchange(Active.m_Response, std::nullopt);
      applyBatch(Active.m_Copy, Response, Active.m_After, Start);
      ForwardedRows Forwarded = rowsToForward(Response, Active.m_ChangedBefore);
      auto Deliver = [&](Table &Copy) {
        if (Random() % 4 && Forwarded.m_After <= Copy.m_UpTo)
          applyBatch(Copy, Forwarded.m_Batch, Forwarded.m_After, Start);
      };
      for (Follower &Each : Followers)
        if (&Each != &Active)
          Deliver(Each.m_Copy);
      Deliver(Receiver);
      // The receiver requests missed changes from a follower.
      if (Random() % 10 == 0 && Active.m_Copy.m_UpTo > Receiver.m_UpTo) {
        Revision After = Receiver.m_UpTo;
        applyBatch(Receiver, changesAfter(Active.m_Copy, After), After, Start);
      }
      std::map<std::string, uint64_t> Known;
      for (const auto &[Key, Each] : Receiver.m_Rows)
        Known[Key] = Each.m_Version;
      REQUIRE(Known == History[Receiver.m_UpTo.m_Version]);
    }
    CHECK(Receiver.m_UpTo.m_Version > 1);
  }
}

// Guards against changes that a copy drops, or takes from another history,
// because a version means something else in the store's next era.
TEST_CASE("a copy follows the store into its next era") {
  struct Case {
    std::string m_Name;
    RowBatch m_Batch;
    Revision m_After;
    /// Keys of the changes; those that may be outdated end with "?".
    std::vector<std::string> m_Changes;
    Revision m_UpTo;
  };
  // The batches are applied in order to the same copy.
  const Case Cases[] = {
      {"the first snapshot",
       snapshot({{"a", "1", 1}, {"b", "1", 2}, {"c", "1", 3}}, 50),
       {},
       {"a", "b", "c"},
       at(50)},
      {"changes that the store will lose",
       changes({{"a", "2", 51}, {"b", "", 52, true}, {"d", "1", 53}}, 57),
       at(50),
       {"a", "b", "d"},
       at(57)},
      {"changes of the next era",
       changes({{"e", "1", 58}}, 58, 2),
       at(57, 1),
       {},
       at(57)},
      {"changes of the next era after a revision of it",
       changes({{"e", "1", 58}}, 58, 2),
       at(57, 2),
       {},
       at(57)},
      {"a snapshot of the next era with lower versions",
       snapshot({{"a", "1", 1}, {"b", "1", 2}, {"c", "1", 3}, {"e", "1", 41}},
                41, 2),
       {},
       {"a?", "b?", "e", "d?"},
       at(41, 2)},
      {"a snapshot of the former era",
       snapshot({{"a", "2", 51}}, 90),
       {},
       {},
       at(41, 2)},
      {"changes of the former era",
       changes({{"a", "3", 58}}, 90),
       at(41),
       {},
       at(41, 2)},
      {"a change that is written again",
       changes({{"a", "2", 42}}, 42, 2),
       at(41, 2),
       {"a"},
       at(42, 2)},
      {"rows that were written again unseen in yet another era",
       snapshot({{"a", "2", 43}, {"b", "1", 2}, {"c", "1", 3}, {"e", "1", 44}},
                44, 4),
       {},
       {},
       at(44, 4)},
  };
  Table Copy;
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    std::vector<std::string> Keys;
    for (const Change &Changed :
         applyBatch(Copy, Each.m_Batch, Each.m_After, Start))
      Keys.push_back(Changed.m_Row.m_Key +
                     (Changed.m_MayBeOutdated ? "?" : ""));
    CHECK(Keys == Each.m_Changes);
    CHECK(Copy.m_UpTo == Each.m_UpTo);
  }
  // What a follower of the former era lacks is not known.
  CHECK(changesAfter(Copy, at(57)).m_IsSnapshot);
  CHECK_FALSE(changesAfter(Copy, at(44, 4)).m_IsSnapshot);
}

TEST_CASE("followers converge to a store that returns from older copies") {
  for (uint32_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    Table Source;
    applyBatch(Source, snapshot({}, 1), {}, Start);
    Table Older = Source;
    std::vector<Table> Followers(4);
    for (int I = 0; I < 1500; ++I) {
      std::string Key = "k" + std::to_string(Random() % 40);
      bool Removed = Source.m_Rows.count(Key) && Random() % 2;
      Revision Next = Source.m_UpTo;
      ++Next.m_Version;
      // Values tell the writes of different eras apart, versions do not.
      std::string Value = std::to_string(I);
      applyBatch(Source,
                 changes({{Key, Value, Next.m_Version, Removed}},
                         Next.m_Version, Next.m_Era),
                 Source.m_UpTo, Start);
      if (Random() % 60 == 0)
        Older = Source;
      if (Random() % 80 == 0) {
        uint64_t Era = Source.m_UpTo.m_Era + 1;
        Source = Older;
        Source.m_UpTo.m_Era = Era;
        Source.m_LastChange.m_Era = Era;
      }
      for (Table &Each : Followers) {
        if (Random() % 4)
          continue;
        // From the store, or from another follower, which may be behind.
        const Table &From =
            Random() % 2 ? Source : Followers[Random() % Followers.size()];
        if (!From.m_IsComplete || &From == &Each)
          continue;
        Revision After = Each.m_IsComplete ? Each.m_UpTo : Revision();
        Revision Before = Each.m_UpTo;
        applyBatch(Each, changesAfter(From, After), After, Start);
        CHECK(Each.m_UpTo >= Before);
      }
    }
    for (Table &Each : Followers) {
      Revision After = Each.m_IsComplete ? Each.m_UpTo : Revision();
      applyBatch(Each, changesAfter(Source, After), After, Start);
      REQUIRE(Each.m_Rows.size() == Source.m_Rows.size());
      for (const auto &[Key, Row] : Source.m_Rows)
        CHECK(Each.m_Rows.at(Key).m_Value == Row.m_Value);
    }
  }
}
