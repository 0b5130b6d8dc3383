#include "Commands.h"
#include "Waiting.h"
#include "hyssopcross/catalogue/Codec.h"
#include "hyssopcross/catalogue/Diff.h"
#include <algorithm>

namespace hyssopcross::tool {

const char *const Usage =
    R"(usage: hyssopcross --entry HOST:PORT[,HOST:PORT...] [FLAGS] COMMAND

commands
  catalogue show [VERSION]   print the catalogue, to be edited and applied
  catalogue check FILE       check a document without any entry VM
  catalogue apply FILE       show what changes, ask, apply, wait
  catalogue history          print the latest changes
  catalogue status           print which entry VMs have the current version
  data-centre out|back NAME  take a data centre out of service, or back
  vm out|back NAME           take an entry VM out of service, or back
  status                     print members, pools and leases

flags
  --entry            operator addresses of entry VMs, tried in turn
  --format           text or json (text)
  --yes              apply without asking; needed without a terminal
  --wait             wait until a change is in force everywhere (true)
  --wait_timeout_ms  how long to wait for that (10000)
  --timeout_ms       how long one request may take (10000)
  --change_id        repeat a change whose end is not known, under its id
  --author           who makes the change ($USER)
  --limit            entries of the history (10)
Each flag can also be set as HYSSOPCROSS_<FLAG> in the environment.

exit codes
  0 done   1 refused or conflict   2 wrong use   3 no entry VM or store reached
  4 accepted, but not in force everywhere in time
)";

namespace {

using Words = std::vector<std::string>;

struct FetchedCatalogue {
  catalogue::Catalogue m_Catalogue;
  bool m_Confirmed = false;
};

std::optional<FetchedCatalogue> fetchCatalogue(const Run &On, uint64_t Version,
                                               int &Code) {
  std::string Path = "/admin/catalogue";
  if (Version != 0)
    Path += "?version=" + std::to_string(Version);
  auto Answer = ask(On, "GET", Path, Json(), Code);
  if (!Answer)
    return std::nullopt;
  auto Read = catalogue::readJson((*Answer)["catalogue"].dump());
  if (!Read) {
    Code = report(On, Unreachable, "bad-answer", Read.error().m_Message);
    return std::nullopt;
  }
  return FetchedCatalogue{std::move(Read).value(),
                          (*Answer)["confirmed"] == true};
}

std::optional<catalogue::Catalogue>
readDocument(const Run &On, const std::string &Path, int &Code) {
  auto Text = On.m_Around.m_ReadFile(Path);
  if (!Text) {
    Code = report(On, BadUsage, "unreadable", Text.error().m_Message);
    return std::nullopt;
  }
  auto Read = catalogue::readYaml(Text.value());
  if (!Read) {
    Code = report(On, Refused, "invalid-document",
                  Path + ": " + Read.error().m_Message);
    return std::nullopt;
  }
  return std::move(Read).value();
}

int show(const Run &On, const Words &Arguments) {
  uint64_t Version = 0;
  if (!Arguments.empty()) {
    bool Number = Arguments[0].size() < 19 &&
                  std::all_of(Arguments[0].begin(), Arguments[0].end(),
                              [](unsigned char C) { return std::isdigit(C); });
    Version = Number ? std::stoull(Arguments[0]) : 0;
    if (Version == 0)
      return reportUsage(On, "the version must be a number from 1");
  }
  int Code = Done;
  auto Fetched = fetchCatalogue(On, Version, Code);
  if (!Fetched)
    return Code;
  if (On.wantsJson())
    On.out(catalogue::writeJson(Fetched->m_Catalogue) + "\n");
  else
    On.out(catalogue::writeYaml(Fetched->m_Catalogue));
  if (!Fetched->m_Confirmed)
    On.err("hyssopcross: the store is not reached; this is the version in "
           "force on one entry VM\n");
  return Done;
}

int check(const Run &On, const Words &Arguments) {
  int Code = Done;
  auto Document = readDocument(On, Arguments[0], Code);
  if (!Document)
    return Code;
  size_t Services = Document->m_Services.size();
  size_t DataCentres = Document->m_DataCentres.size();
  if (On.wantsJson())
    On.out(Json{{"valid", true},
                {"services", Services},
                {"data_centres", DataCentres}}
               .dump() +
           "\n");
  else
    On.out(Arguments[0] + " is valid: " + std::to_string(Services) +
           " services, " + std::to_string(DataCentres) + " data centres\n");
  return Done;
}

/// Shows the change and asks. Returns the exit code if it is not to be made.
std::optional<int> confirmChange(const Run &On,
                                 const std::vector<catalogue::EntryChange> &Of,
                                 uint64_t Base) {
  std::string Heading = "changes to version " + std::to_string(Base) + ":\n";
  if (!On.wantsJson())
    On.out(Heading + catalogue::diffText(Of));
  if (On.m_With.m_Yes)
    return std::nullopt;
  if (On.wantsJson())
    On.err(Heading + catalogue::diffText(Of));
  auto Agreed = On.m_Around.m_Ask("apply? [y/N] ");
  if (!Agreed)
    return report(On, BadUsage, "usage",
                  "--yes is needed where no terminal can be asked");
  if (!*Agreed)
    return report(On, Refused, "cancelled", "not applied");
  return std::nullopt;
}

int apply(const Run &On, const Words &Arguments) {
  int Code = Done;
  auto Document = readDocument(On, Arguments[0], Code);
  if (!Document)
    return Code;
  auto Base = fetchCatalogue(On, Document->m_Version, Code);
  if (!Base)
    return Code;
  if (!Base->m_Confirmed)
    return report(On, Unreachable, "store-unavailable",
                  "the store is not reached; no change can be accepted now");
  auto Changes = catalogue::diff(Base->m_Catalogue, *Document);
  bool First = Base->m_Catalogue.m_Version == 0;
  if (Changes.empty() && !First) {
    if (On.wantsJson())
      On.out("{\"state\":\"unchanged\"}\n");
    else
      On.out("nothing changes\n");
    return Done;
  }
  auto Stopped = confirmChange(On, Changes, Base->m_Catalogue.m_Version);
  if (Stopped)
    return *Stopped;
  return sendChange(
      On, "/admin/catalogue",
      {{"base_version", Base->m_Catalogue.m_Version},
       {"catalogue", Json::parse(catalogue::writeJson(*Document))}});
}

void printHistoryEntry(const Run &On, const Json &Entry) {
  std::string Author = textOf(Entry, "author");
  On.out("version " + std::to_string(numberOf(Entry, "version")) + " at " +
         timeOf(Entry, "at_ms") + " by " + (Author.empty() ? "-" : Author) +
         " (change " + textOf(Entry, "change_id") + ")\n");
  for (const Json &Change : Entry["changes"]) {
    On.out("  " + textOf(Change, "action") + " " + textOf(Change, "kind") +
           " " + textOf(Change, "name") + "\n");
    if (textOf(Change, "action") != "changed")
      continue;
    for (const Json &Field : Change["fields"])
      On.out("    " + textOf(Field, "field") + ": " + textOf(Field, "before") +
             " -> " + textOf(Field, "after") + "\n");
  }
}

int history(const Run &On, const Words &) {
  int Code = Done;
  auto Answer =
      ask(On, "GET",
          "/admin/catalogue/history?limit=" + std::to_string(On.m_With.m_Limit),
          Json(), Code);
  if (!Answer)
    return Code;
  if (On.wantsJson()) {
    On.out(Answer->dump() + "\n");
    return Done;
  }
  for (const Json &Entry : (*Answer)["versions"])
    printHistoryEntry(On, Entry);
  return Done;
}

int catalogueStatus(const Run &On, const Words &) {
  int Code = Done;
  auto Answer = ask(On, "GET", "/admin/catalogue/status", Json(), Code);
  if (!Answer)
    return Code;
  if (On.wantsJson())
    On.out(Answer->dump() + "\n");
  else
    printInForce(On, *Answer);
  return Done;
}

int status(const Run &On, const Words &) {
  int Code = Done;
  auto Answer = ask(On, "GET", "/admin/status", Json(), Code);
  if (!Answer)
    return Code;
  On.out(Answer->dump(On.wantsJson() ? -1 : 2) + "\n");
  return Done;
}

int setOut(const Run &On, const char *Collection, const Words &Arguments) {
  if (Arguments[0] != "out" && Arguments[0] != "back")
    return reportUsage(On, "\"" + Arguments[0] + "\" is neither out nor back");
  return sendChange(On,
                    std::string("/admin/") + Collection + "/" +
                        encodePathPart(Arguments[1]) + "/" + Arguments[0],
                    Json::object());
}

int dataCentre(const Run &On, const Words &Arguments) {
  return setOut(On, "data-centres", Arguments);
}

int vm(const Run &On, const Words &Arguments) {
  return setOut(On, "vms", Arguments);
}

/// A command: its first words, and how many arguments follow.
struct Command {
  Words m_Words;
  size_t m_Least;
  size_t m_Most;
  int (*m_Run)(const Run &, const Words &);
};

const std::vector<Command> &commands() {
  static const std::vector<Command> All = {
      {{"catalogue", "show"}, 0, 1, show},
      {{"catalogue", "check"}, 1, 1, check},
      {{"catalogue", "apply"}, 1, 1, apply},
      {{"catalogue", "history"}, 0, 0, history},
      {{"catalogue", "status"}, 0, 0, catalogueStatus},
      {{"data-centre"}, 2, 2, dataCentre},
      {{"vm"}, 2, 2, vm},
      {{"status"}, 0, 0, status},
  };
  return All;
}

bool startsWith(const Words &Given, const Words &Command) {
  return Given.size() >= Command.size() &&
         std::equal(Command.begin(), Command.end(), Given.begin());
}

} // namespace

int runCommand(Surroundings &Around, const Options &With, const Words &Given) {
  Run On{Around, With};
  if (Given.empty())
    return reportUsage(On, "no command given");
  for (const Command &Each : commands()) {
    if (!startsWith(Given, Each.m_Words))
      continue;
    Words Arguments(Given.begin() + static_cast<long>(Each.m_Words.size()),
                    Given.end());
    if (Arguments.size() < Each.m_Least || Arguments.size() > Each.m_Most)
      return reportUsage(On, "wrong number of arguments");
    return Each.m_Run(On, Arguments);
  }
  return reportUsage(On, "unknown command \"" + Given[0] +
                             (Given.size() > 1 ? " " + Given[1] : "") + "\"");
}

} // namespace hyssopcross::tool
