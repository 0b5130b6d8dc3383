#include "NodeReader.h"
#include "hyssopcross/scenario/Scenario.h"
#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace hyssopcross::scenario {

namespace {

using testbed::Layout;
using testbed::TargetKind;

/// Events of the language that this host has no fakes for.
constexpr std::array<std::string_view, 5> Unsupported = {
    "answer_lost", "store_slow", "racing_operators", "vm_list_lag",
    "catalogue_conflict"};

/// The reader and the scenario that it fills.
struct Parser {
  NodeReader m_Reader;
  Scenario m_Scenario;
};

void parseTiming(Parser &Parser, const YAML::Node &Node) {
  if (!Node.IsDefined())
    return;
  NodeReader &Reader = Parser.m_Reader;
  testbed::Timing &Timing = Parser.m_Scenario.m_Layout.m_Timing;
  Reader.expectKeys(Node,
                    {"crossing", "local", "client", "connect", "lease_ttl",
                     "detection", "address_life", "in_force", "list_lag"});
  auto Read = [&](const char *Key, Duration &Value) {
    Value = Reader.durationOr(Node, Key, Value);
  };
  Read("crossing", Timing.m_Crossing);
  Read("local", Timing.m_Local);
  Read("client", Timing.m_Client);
  Read("connect", Timing.m_Connect);
  Read("lease_ttl", Timing.m_LeaseTtl);
  Read("detection", Timing.m_Detection);
  Read("address_life", Timing.m_AddressLife);
  Read("in_force", Timing.m_InForce);
  Read("list_lag", Timing.m_ListLag);
}

bool isDataCentre(const Layout &Layout, const std::string &Name) {
  return std::ranges::find(Layout.m_DataCentres, Name) !=
         Layout.m_DataCentres.end();
}

bool isService(const Layout &Layout, const std::string &Name) {
  return std::ranges::any_of(Layout.m_Services, [&Name](const auto &Known) {
    return Known.m_Entry.m_Name == Name;
  });
}

bool isEntry(const Layout &Layout, const std::string &Name) {
  return std::ranges::find(Layout.m_Entries, Name,
                           &testbed::EntryLayout::m_Name) !=
         Layout.m_Entries.end();
}

bool isServer(const Layout &Layout, const std::string &Name) {
  return std::ranges::find(Layout.m_Servers, Name,
                           &testbed::ServerLayout::m_Name) !=
         Layout.m_Servers.end();
}

bool isShareKey(const Layout &Layout, const std::string &Name) {
  return std::ranges::find(Layout.m_Loads, Name,
                           &testbed::LoadLayout::m_ShareKey) !=
         Layout.m_Loads.end();
}

bool isKnown(const Layout &Layout, const std::string &Name, TargetKind Kind,
             bool IsCutOrDelay) {
  switch (Kind) {
  case TargetKind::None:
    return Name.empty();
  case TargetKind::Entry:
    return isEntry(Layout, Name);
  case TargetKind::Server:
    return isServer(Layout, Name);
  case TargetKind::Party:
    return isEntry(Layout, Name) || isServer(Layout, Name) ||
           (IsCutOrDelay && isDataCentre(Layout, Name));
  case TargetKind::DataCentre:
    return isDataCentre(Layout, Name);
  case TargetKind::Service:
    return isService(Layout, Name);
  case TargetKind::Key:
    return isShareKey(Layout, Name);
  }
  return false;
}

std::string parseDataCentre(Parser &Parser, const YAML::Node &Node) {
  std::string Name = Parser.m_Reader.text(Node, "in");
  if (!isDataCentre(Parser.m_Scenario.m_Layout, Name))
    Parser.m_Reader.reject(Node, "unknown data centre \"" + Name + "\"");
  return Name;
}

std::string parseService(Parser &Parser, const YAML::Node &Node) {
  std::string Name = Parser.m_Reader.text(Node, "service");
  if (!isService(Parser.m_Scenario.m_Layout, Name))
    Parser.m_Reader.reject(Node, "unknown service \"" + Name + "\"");
  return Name;
}

std::string parseNewParty(Parser &Parser, const YAML::Node &Node) {
  std::string Name = Parser.m_Reader.text(Node, "name");
  const Layout &Layout = Parser.m_Scenario.m_Layout;
  bool Taken = isEntry(Layout, Name) || isServer(Layout, Name) ||
               isDataCentre(Layout, Name);
  if (Taken)
    Parser.m_Reader.reject(Node, "the name \"" + Name + "\" is taken");
  return Name;
}

catalogue::ServiceClass parseClass(Parser &Parser, const YAML::Node &Node) {
  std::string Name = Parser.m_Reader.textOr(Node, "class", "lookup");
  if (Name == "money")
    return catalogue::ServiceClass::Money;
  if (Name == "upload")
    return catalogue::ServiceClass::Upload;
  if (Name != "lookup")
    Parser.m_Reader.reject(Node, "unknown class \"" + Name + "\"");
  return catalogue::ServiceClass::Lookup;
}

void parseService(Parser &Parser, const YAML::Node &Node,
                  testbed::ServiceLayout &Service) {
  NodeReader &Reader = Parser.m_Reader;
  Reader.expectKeys(Node,
                    {"name", "class", "slots", "connections", "concurrency",
                     "queue", "probes_per_second", "mean_work", "backlog",
                     "cold_allowance", "cold_factor", "warm_after"});
  catalogue::ServiceLimits &Limits = Service.m_Entry.m_Limits;
  Service.m_Entry.m_Name = Reader.text(Node, "name");
  Service.m_Entry.m_Class = parseClass(Parser, Node);
  Limits.m_Slots = Reader.countOr(Node, "slots", Limits.m_Slots);
  Limits.m_Connections =
      Reader.countOr(Node, "connections", Limits.m_Connections);
  Limits.m_Concurrency =
      Reader.countOr(Node, "concurrency", Limits.m_Concurrency);
  Limits.m_Queue = Reader.countOr(Node, "queue", Limits.m_Queue);
  Limits.m_ProbesPerSecond =
      Reader.numberOr(Node, "probes_per_second", Limits.m_ProbesPerSecond);
  Service.m_MeanWork = Reader.durationOr(Node, "mean_work", Service.m_MeanWork);
  Service.m_Backlog = Reader.countOr(Node, "backlog", Service.m_Backlog);
  Service.m_ColdAllowance =
      Reader.countOr(Node, "cold_allowance", Service.m_ColdAllowance);
  Service.m_ColdFactor =
      Reader.numberOr(Node, "cold_factor", Service.m_ColdFactor);
  Service.m_WarmAfter = Reader.countOr(Node, "warm_after", Service.m_WarmAfter);
  if (Service.m_ColdFactor < 1 || Service.m_WarmAfter == 0)
    Reader.reject(Node, "cold_factor and warm_after must be at least 1");
}

void parseEntry(Parser &Parser, const YAML::Node &Node) {
  Parser.m_Reader.expectKeys(Node, {"name", "in"});
  testbed::EntryLayout Entry{parseNewParty(Parser, Node),
                             parseDataCentre(Parser, Node)};
  Parser.m_Scenario.m_Layout.m_Entries.push_back(Entry);
}

void parseServer(Parser &Parser, const YAML::Node &Node) {
  Parser.m_Reader.expectKeys(Node, {"name", "service", "in", "cold"});
  testbed::ServerLayout Server;
  Server.m_Name = parseNewParty(Parser, Node);
  Server.m_Service = parseService(Parser, Node);
  Server.m_DataCentre = parseDataCentre(Parser, Node);
  Server.m_Cold = Parser.m_Reader.flagOr(Node, "cold", false);
  Parser.m_Scenario.m_Layout.m_Servers.push_back(Server);
}

void parseCallers(Parser &Parser, const YAML::Node &Node) {
  NodeReader &Reader = Parser.m_Reader;
  Reader.expectKeys(Node, {"service", "in", "per_second", "key", "timeout",
                           "abandon_after", "retries"});
  testbed::LoadLayout Load;
  Load.m_Service = parseService(Parser, Node);
  Load.m_DataCentre = parseDataCentre(Parser, Node);
  Load.m_CallsPerSecond = Reader.numberOr(Node, "per_second", 0);
  Load.m_ShareKey = Reader.textOr(Node, "key", "");
  Load.m_Timeout = Reader.durationOr(Node, "timeout", Load.m_Timeout);
  Load.m_AbandonAfter =
      Reader.durationOr(Node, "abandon_after", Load.m_AbandonAfter);
  Load.m_Retries = Reader.countOr(Node, "retries", 0);
  Parser.m_Scenario.m_Layout.m_Loads.push_back(Load);
}

void parseAmount(Parser &Parser, const YAML::Node &Node,
                 const testbed::FaultWord &Word, testbed::Fault &Fault) {
  for (const char *Key : {"factor", "by_ms", "to"})
    if (Word.m_Amount != Key && Parser.m_Reader.find(Node, Key).IsDefined())
      return Parser.m_Reader.reject(Node, std::string("event \"") +
                                              std::string(Word.m_Name) +
                                              "\" has no \"" + Key + "\"");
  if (Word.m_Amount.empty())
    return;
  std::string Key(Word.m_Amount);
  if (!Parser.m_Reader.find(Node, Key.c_str()).IsDefined())
    return Parser.m_Reader.reject(Node, "\"" + Key + "\" is missing");
  Fault.m_Amount = Parser.m_Reader.numberOr(Node, Key.c_str(), 0);
}

void checkTarget(Parser &Parser, const YAML::Node &Node,
                 const testbed::FaultWord &Word, const std::string &Name,
                 bool Between) {
  if (isKnown(Parser.m_Scenario.m_Layout, Name, Word.m_Target, Between))
    return;
  Parser.m_Reader.reject(Node, "event \"" + std::string(Word.m_Name) +
                                   "\" cannot be applied to \"" + Name + "\"");
}

void parseEvent(Parser &Parser, const YAML::Node &Node) {
  NodeReader &Reader = Parser.m_Reader;
  Reader.expectKeys(Node, {"at", "do", "target", "other", "for", "factor",
                           "by_ms", "to", "both_ways"});
  YAML::Node Verb = Reader.find(Node, "do");
  std::string Name = Reader.text(Node, "do");
  if (Reader.error())
    return;
  if (std::ranges::find(Unsupported, Name) != Unsupported.end())
    return Reader.reject(Verb, "event \"" + Name +
                                   "\" is not supported by this host");
  auto Word = testbed::findFaultWord(Name);
  if (!Word)
    return Reader.reject(Verb, "unknown event \"" + Name + "\"");
  if (!Reader.find(Node, "at").IsDefined())
    return Reader.reject(Node, "\"at\" is missing");
  TimedFault Timed;
  testbed::Fault &Fault = Timed.m_Fault;
  Timed.m_At = Reader.durationOr(Node, "at", {});
  Fault.m_Kind = Word->m_Kind;
  Fault.m_Target = Reader.textOr(Node, "target", "");
  Fault.m_Other = Reader.textOr(Node, "other", "");
  Fault.m_For = Reader.durationOr(Node, "for", {});
  Fault.m_BothWays = Reader.flagOr(Node, "both_ways", true);
  parseAmount(Parser, Node, *Word, Fault);
  bool Between = Word->m_Kind == testbed::FaultKind::Cut ||
                 Word->m_Kind == testbed::FaultKind::Delay;
  checkTarget(Parser, Node, *Word, Fault.m_Target, Between);
  if (Between)
    checkTarget(Parser, Node, *Word, Fault.m_Other, Between);
  Parser.m_Scenario.m_Faults.push_back(Timed);
}

std::optional<Measure> findMeasure(std::string_view Name) {
  auto Found = std::ranges::find(measureWords(), Name, &MeasureWord::m_Name);
  if (Found == measureWords().end())
    return std::nullopt;
  return Found->m_Measure;
}

void parseExpectation(Parser &Parser, const YAML::Node &Node) {
  NodeReader &Reader = Parser.m_Reader;
  const Layout &Layout = Parser.m_Scenario.m_Layout;
  Reader.expectKeys(Node, {"measure", "min", "max", "from", "to", "service",
                           "in", "key", "server"});
  Expectation Expected;
  std::string Name = Reader.text(Node, "measure");
  auto Known = findMeasure(Name);
  if (!Known)
    return Reader.reject(Node, "unknown measure \"" + Name + "\"");
  Expected.m_Measure = *Known;
  if (Reader.find(Node, "min").IsDefined())
    Expected.m_Min = Reader.numberOr(Node, "min", 0);
  if (Reader.find(Node, "max").IsDefined())
    Expected.m_Max = Reader.numberOr(Node, "max", 0);
  if (!Expected.m_Min && !Expected.m_Max)
    Reader.reject(Node, "\"min\" or \"max\" is missing");
  Expected.m_From = Reader.durationOr(Node, "from", {});
  if (Reader.find(Node, "to").IsDefined())
    Expected.m_To = Reader.durationOr(Node, "to", {});
  Expected.m_Line = Node.Mark().line + 1;
  auto Read = [&](const char *Key, std::string &Value, auto IsKnown) {
    Value = Reader.textOr(Node, Key, "");
    if (!Value.empty() && !IsKnown(Layout, Value))
      Reader.reject(Node, std::string("unknown ") + Key + " \"" + Value + "\"");
  };
  Read("service", Expected.m_Service, isService);
  Read("in", Expected.m_DataCentre, isDataCentre);
  Read("key", Expected.m_ShareKey, isShareKey);
  Read("server", Expected.m_Server, isServer);
  Parser.m_Scenario.m_Expectations.push_back(Expected);
}

void parseAll(Parser &Parser, const YAML::Node &Root) {
  NodeReader &Reader = Parser.m_Reader;
  Scenario &Scenario = Parser.m_Scenario;
  Layout &Layout = Scenario.m_Layout;
  Reader.expectKeys(Root, {"scenario", "seed", "length", "data_centres",
                           "timing", "entries", "services", "servers",
                           "callers", "events", "expect"});
  Scenario.m_Name = Reader.text(Root, "scenario");
  Layout.m_Seed = Reader.countOr(Root, "seed", 1);
  Scenario.m_Length = Reader.durationOr(Root, "length", Scenario.m_Length);
  parseTiming(Parser, Reader.find(Root, "timing"));
  for (const YAML::Node &Node : Reader.list(Root, "data_centres", true))
    Layout.m_DataCentres.push_back(Node.IsScalar() ? Node.Scalar() : "");
  for (const YAML::Node &Node : Reader.list(Root, "services", true))
    parseService(Parser, Node, Layout.m_Services.emplace_back());
  for (const YAML::Node &Node : Reader.list(Root, "entries", true))
    parseEntry(Parser, Node);
  for (const YAML::Node &Node : Reader.list(Root, "servers", true))
    parseServer(Parser, Node);
  for (const YAML::Node &Node : Reader.list(Root, "callers", true))
    parseCallers(Parser, Node);
  for (const YAML::Node &Node : Reader.list(Root, "events", false))
    parseEvent(Parser, Node);
  for (const YAML::Node &Node : Reader.list(Root, "expect", true))
    parseExpectation(Parser, Node);
  if (Layout.m_Entries.empty())
    Reader.reject(Root, "at least one entry VM is needed");
}

} // namespace

Result<Scenario> parseScenario(std::string_view Text,
                               std::string_view FileName) {
  Parser Parser{NodeReader(FileName), {}};
  try {
    parseAll(Parser, YAML::Load(std::string(Text)));
  } catch (const YAML::Exception &Thrown) {
    Parser.m_Reader.reject(Thrown.mark, Thrown.msg);
  }
  if (const auto &Error = Parser.m_Reader.error())
    return fail(Error->m_Code, Error->m_Message);
  return Parser.m_Scenario;
}

Result<Scenario> readScenario(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return fail(ErrorCode::NotFound, Path + ": cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseScenario(Text.str(), Path);
}

} // namespace hyssopcross::scenario
