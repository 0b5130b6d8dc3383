#ifndef HYSSOPCROSS_TESTBED_FAKENETWORK_H
#define HYSSOPCROSS_TESTBED_FAKENETWORK_H

#include "hyssopcross/testbed/Layout.h"
#include <optional>
#include <vector>

namespace hyssopcross::testbed {

/// A sender or receiver of messages. The views must outlive the use.
struct Party {
  std::string_view m_Name;
  std::string_view m_DataCentre;
};

/// What holds on the way from one party to another. Either name may be that
/// of a party or of a data centre.
struct Disturbance {
  std::string m_From;
  std::string m_To;
  bool m_Cut = false;
  Duration m_Delay{};
};

/// The delays between parties, with cuts. Not thread-safe.
class FakeNetwork {
public:
  explicit FakeNetwork(const Timing &Timing) : m_Timing(Timing) {}

  /// How long a message takes; nothing if it is lost.
  std::optional<Duration> delay(const Party &From, const Party &To) const;

  /// Adds a disturbance and returns what ends it.
  uint64_t disturb(Disturbance Disturbance);

  /// Ends a disturbance.
  void restore(uint64_t Id);

private:
  struct Active {
    uint64_t m_Id = 0;
    Disturbance m_Disturbance;
  };

  Timing m_Timing;
  uint64_t m_LastId = 0;
  std::vector<Active> m_Active;
};

} // namespace hyssopcross::testbed

#endif
