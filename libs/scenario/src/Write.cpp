#include "hyssopcross/scenario/Scenario.h"
#include <yaml-cpp/yaml.h>

namespace hyssopcross::scenario {

namespace {

std::string microseconds(Duration Length) {
  std::chrono::duration<double, std::micro> Micro = Length;
  std::string Text = YAML::Dump(YAML::Node(Micro.count()));
  return Text + "us";
}

const char *className(catalogue::ServiceClass Class) {
  switch (Class) {
  case catalogue::ServiceClass::Money:
    return "money";
  case catalogue::ServiceClass::Upload:
    return "upload";
  case catalogue::ServiceClass::Lookup:
    break;
  }
  return "lookup";
}

YAML::Node writeTiming(const testbed::Timing &Timing) {
  YAML::Node Node;
  Node["crossing"] = microseconds(Timing.m_Crossing);
  Node["local"] = microseconds(Timing.m_Local);
  Node["client"] = microseconds(Timing.m_Client);
  Node["connect"] = microseconds(Timing.m_Connect);
  Node["lease_ttl"] = microseconds(Timing.m_LeaseTtl);
  Node["detection"] = microseconds(Timing.m_Detection);
  Node["address_life"] = microseconds(Timing.m_AddressLife);
  Node["in_force"] = microseconds(Timing.m_InForce);
  Node["list_lag"] = microseconds(Timing.m_ListLag);
  return Node;
}

YAML::Node writeService(const testbed::ServiceLayout &Service) {
  const catalogue::ServiceLimits &Limits = Service.m_Entry.m_Limits;
  YAML::Node Node;
  Node["name"] = Service.m_Entry.m_Name;
  Node["class"] = className(Service.m_Entry.m_Class);
  Node["slots"] = Limits.m_Slots;
  Node["connections"] = Limits.m_Connections;
  Node["concurrency"] = Limits.m_Concurrency;
  Node["queue"] = Limits.m_Queue;
  Node["probes_per_second"] = Limits.m_ProbesPerSecond;
  Node["mean_work"] = microseconds(Service.m_MeanWork);
  Node["backlog"] = Service.m_Backlog;
  Node["cold_allowance"] = Service.m_ColdAllowance;
  Node["cold_factor"] = Service.m_ColdFactor;
  Node["warm_after"] = Service.m_WarmAfter;
  return Node;
}

YAML::Node writeServer(const testbed::ServerLayout &Server) {
  YAML::Node Node;
  Node["name"] = Server.m_Name;
  Node["service"] = Server.m_Service;
  Node["in"] = Server.m_DataCentre;
  Node["cold"] = Server.m_Cold;
  return Node;
}

YAML::Node writeCallers(const testbed::LoadLayout &Load) {
  YAML::Node Node;
  Node["service"] = Load.m_Service;
  Node["in"] = Load.m_DataCentre;
  Node["per_second"] = Load.m_CallsPerSecond;
  Node["key"] = Load.m_ShareKey;
  Node["timeout"] = microseconds(Load.m_Timeout);
  Node["abandon_after"] = microseconds(Load.m_AbandonAfter);
  Node["retries"] = Load.m_Retries;
  return Node;
}

YAML::Node writeEvent(const TimedFault &Timed) {
  const testbed::Fault &Fault = Timed.m_Fault;
  const testbed::FaultWord &Word = testbed::faultWord(Fault.m_Kind);
  YAML::Node Node;
  Node["at"] = microseconds(Timed.m_At);
  Node["do"] = std::string(Word.m_Name);
  if (!Fault.m_Target.empty())
    Node["target"] = Fault.m_Target;
  if (!Fault.m_Other.empty())
    Node["other"] = Fault.m_Other;
  if (Fault.m_For > Duration::zero())
    Node["for"] = microseconds(Fault.m_For);
  if (!Word.m_Amount.empty())
    Node[std::string(Word.m_Amount)] = Fault.m_Amount;
  if (!Fault.m_BothWays)
    Node["both_ways"] = false;
  return Node;
}

YAML::Node writeExpectation(const Expectation &Expected) {
  YAML::Node Node;
  Node["measure"] = std::string(measureName(Expected.m_Measure));
  if (Expected.m_Min)
    Node["min"] = *Expected.m_Min;
  if (Expected.m_Max)
    Node["max"] = *Expected.m_Max;
  if (Expected.m_From > Duration::zero())
    Node["from"] = microseconds(Expected.m_From);
  if (Expected.m_To)
    Node["to"] = microseconds(*Expected.m_To);
  auto Write = [&Node](const char *Key, const std::string &Value) {
    if (!Value.empty())
      Node[Key] = Value;
  };
  Write("service", Expected.m_Service);
  Write("in", Expected.m_DataCentre);
  Write("key", Expected.m_ShareKey);
  Write("server", Expected.m_Server);
  return Node;
}

template <typename Item>
YAML::Node writeAll(const std::vector<Item> &Items,
                    YAML::Node (*Write)(const Item &)) {
  YAML::Node List(YAML::NodeType::Sequence);
  for (const Item &Each : Items) {
    YAML::Node Node = Write(Each);
    Node.SetStyle(YAML::EmitterStyle::Flow);
    List.push_back(Node);
  }
  return List;
}

YAML::Node writeEntry(const testbed::EntryLayout &Entry) {
  YAML::Node Node;
  Node["name"] = Entry.m_Name;
  Node["in"] = Entry.m_DataCentre;
  return Node;
}

} // namespace

std::string writeScenario(const Scenario &Scenario) {
  const testbed::Layout &Layout = Scenario.m_Layout;
  YAML::Node Root;
  Root["scenario"] = Scenario.m_Name;
  Root["seed"] = Layout.m_Seed;
  Root["length"] = microseconds(Scenario.m_Length);
  Root["data_centres"] = Layout.m_DataCentres;
  Root["timing"] = writeTiming(Layout.m_Timing);
  Root["services"] = writeAll(Layout.m_Services, writeService);
  Root["entries"] = writeAll(Layout.m_Entries, writeEntry);
  Root["servers"] = writeAll(Layout.m_Servers, writeServer);
  Root["callers"] = writeAll(Layout.m_Loads, writeCallers);
  Root["events"] = writeAll(Scenario.m_Faults, writeEvent);
  Root["expect"] = writeAll(Scenario.m_Expectations, writeExpectation);
  YAML::Emitter Out;
  Out << Root;
  return std::string(Out.c_str()) + "\n";
}

} // namespace hyssopcross::scenario
