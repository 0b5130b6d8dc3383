#ifndef HYSSOPCROSS_MEMBERSHIP_TESTS_FLEET_H
#define HYSSOPCROSS_MEMBERSHIP_TESTS_FLEET_H

#include "hyssopcross/membership/Membership.h"
#include <functional>
#include <memory>
#include <random>

namespace hyssopcross::membership {

/// Simulates several VMs on one network with a lagging platform list and a
/// manual clock.
class Fleet {
public:
  Fleet(MembershipPolicy Policy, uint64_t Seed)
      : m_Policy(Policy), m_Random(Seed) {}

  /// Starts a VM. The platform's list contains it after ListLag.
  void start(const std::string &Name, const std::string &DataCentre,
             Duration ListLag = std::chrono::seconds(1));
  /// Terminates a VM at once. The list still contains it for ListLag.
  void kill(const std::string &Name,
            Duration ListLag = std::chrono::seconds(60));
  /// Terminates a VM and restarts it with the same name and address.
  void restart(const std::string &Name,
               Duration ListLag = std::chrono::seconds(1));
  /// Heartbeats to a frozen VM are lost.
  void freeze(const std::string &Name, Duration Length);
  void stop(const std::string &Name);
  /// Marks the VM as leaving in the list.
  void listLeaving(const std::string &Name);
  /// Drops all messages between VMs for which the predicate holds, for the
  /// given time.
  void partition(std::function<bool(const VmInfo &, const VmInfo &)> Partition,
                 Duration Length);
  void run(Duration Length);

  VmStatus observedStatus(const std::string &By, const std::string &Of) const;
  const MembershipState &state(const std::string &Name) const;
  View viewOf(const std::string &Name) const;
  /// Describes the first running VM whose view of another VM is wrong; empty if
  /// all views are correct.
  std::string disagreement() const;

  TimePoint m_Now{std::chrono::hours(1)};
  /// Percentage of messages lost.
  uint32_t m_Loss = 0;
  std::map<std::string, uint64_t> m_BytesSent;
  uint64_t m_ListFetches = 0;
  uint64_t m_FalseDeaths = 0;

private:
  struct Vm {
    std::unique_ptr<MembershipState> m_State;
    TimePoint m_FrozenUntil;
    bool m_Up = false;
  };

  void at(TimePoint When, std::function<void()> What) {
    m_Events.emplace(When, std::move(What));
  }
  void deliverEvent(const std::string &Name, uint64_t Incarnation,
                    const Event &Incoming);
  void perform(const VmInfo &From, const Action &Requested);
  void deliver(const VmInfo &From, const std::string &To,
               const Event &Incoming);
  void tick(const std::string &Name, uint64_t Incarnation);

  MembershipPolicy m_Policy;
  std::mt19937_64 m_Random;
  std::multimap<TimePoint, std::function<void()>> m_Events;
  std::map<std::string, Vm> m_Vms;
  std::map<std::string, store::VmRecord> m_List;
  std::function<bool(const VmInfo &, const VmInfo &)> m_Partition;
  TimePoint m_PartitionUntil;
  uint64_t m_Incarnations = 100;
};

} // namespace hyssopcross::membership

#endif
