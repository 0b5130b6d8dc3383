#ifndef HYSSOPCROSS_TESTBED_LAYOUT_H
#define HYSSOPCROSS_TESTBED_LAYOUT_H

#include "hyssopcross/balancing/Pool.h"
#include <string>
#include <vector>

namespace hyssopcross::testbed {

/// An entry VM.
struct EntryLayout {
  std::string m_Name;
  std::string m_DataCentre;
};

/// A backend server. Its name stands for its address.
struct ServerLayout {
  std::string m_Name;
  std::string m_Service;
  std::string m_DataCentre;
  bool m_Cold = false;
};

/// A service and how its backend servers behave.
struct ServiceLayout {
  catalogue::ServiceEntry m_Entry;
  /// Mean of the exponentially distributed time that a request takes.
  Duration m_MeanWork = std::chrono::milliseconds(10);
  /// Requests that a server holds beyond its slots before it sheds.
  uint32_t m_Backlog = 4;
  /// Requests that a cold server bears at once; it sheds the rest.
  uint32_t m_ColdAllowance = 1;
  /// How many times longer a cold server takes.
  double m_ColdFactor = 4.0;
  /// Requests that a cold server completes until it is warm.
  uint32_t m_WarmAfter = 40;
};

/// Callers of a service in one data centre, with Poisson arrivals.
struct LoadLayout {
  std::string m_Service;
  std::string m_DataCentre;
  double m_CallsPerSecond = 0;
  std::string m_ShareKey;
  /// Time allowed for a call.
  Duration m_Timeout = std::chrono::seconds(1);
  /// When a caller that has no answer hangs up; zero for never.
  Duration m_AbandonAfter{};
  /// How often a refused caller comes back after Retry-After.
  uint32_t m_Retries = 0;
};

/// Delays of the environment.
struct Timing {
  /// One way between two data centres.
  Duration m_Crossing = std::chrono::microseconds(1500);
  /// One way within a data centre.
  Duration m_Local = std::chrono::microseconds(50);
  /// One way between a caller and an entry VM.
  Duration m_Client = std::chrono::milliseconds(1);
  /// Added to a request that needs a new connection.
  Duration m_Connect = std::chrono::milliseconds(1);
  /// From the loss of an owner until its lease is taken over.
  Duration m_LeaseTtl = std::chrono::milliseconds(1500);
  /// From the loss of an entry VM until the addresses leave it out.
  Duration m_Detection = std::chrono::milliseconds(500);
  /// How long callers keep their addresses.
  Duration m_AddressLife = std::chrono::seconds(1);
  /// From a catalogue change until it is in force.
  Duration m_InForce = std::chrono::seconds(1);
  /// By how much the platform's list of servers lags.
  Duration m_ListLag = std::chrono::seconds(1);
  /// Between two digests that an owner sends to its successor.
  Duration m_DigestEvery = std::chrono::seconds(1);
};

/// How the decisions are spread over the entry VMs.
enum class Deciders {
  /// One owner for each pool.
  Owners,
  /// Every entry VM alone, over the servers of all data centres.
  Everyone,
  /// Every entry VM alone, over the servers of its own data centre.
  EveryoneNearest,
};

/// Everything that a run starts from.
struct Layout {
  std::vector<std::string> m_DataCentres;
  std::vector<EntryLayout> m_Entries;
  std::vector<ServiceLayout> m_Services;
  std::vector<ServerLayout> m_Servers;
  std::vector<LoadLayout> m_Loads;
  Timing m_Timing;
  Deciders m_Deciders = Deciders::Owners;
  balancing::PoolPolicy m_Policy;
  uint64_t m_Seed = 1;
  /// Whether a second attempt of a call takes a time of its own, independent of
  /// the first one's; otherwise every attempt takes the call's time.
  bool m_IndependentAttempts = false;
  /// Whether entry VMs check that an answer belongs to its request. Switched
  /// off only by tests.
  bool m_ChecksAnswers = true;
};

} // namespace hyssopcross::testbed

#endif
