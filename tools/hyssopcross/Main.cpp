#include "Commands.h"
#include "hyssopcross/base/Settings.h"
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <thread>
#include <unistd.h>

DEFINE_string(entry, "",
              "operator addresses HOST:PORT of entry VMs, comma "
              "separated, tried in turn");
DEFINE_string(format, "text", "output format: text or json");
DEFINE_bool(yes, false, "apply without asking");
DEFINE_bool(wait, true, "wait until a change is in force everywhere");
DEFINE_int32(wait_timeout_ms, 10000, "how long to wait for that");
DEFINE_int32(timeout_ms, 10000, "how long one request may take");
DEFINE_string(change_id, "", "repeat a change under its id");
DEFINE_string(author, "", "who makes the change; the user's name if empty");
DEFINE_int32(limit, 10, "entries of the history");

namespace {

using namespace hyssopcross;
using namespace hyssopcross::tool;

Result<std::vector<Address>> readEntries() {
  std::vector<Address> Entries;
  for (std::string_view Part : splitList(FLAGS_entry, ',')) {
    auto Entry = parseAddress(Part);
    if (!Entry)
      return Entry.error();
    Entries.push_back(Entry.value());
  }
  return Entries;
}

Result<Options> readOptions() {
  if (FLAGS_format != "text" && FLAGS_format != "json")
    return fail(ErrorCode::InvalidInput, "--format must be text or json");
  if (FLAGS_timeout_ms <= 0 || FLAGS_wait_timeout_ms < 0 || FLAGS_limit <= 0)
    return fail(ErrorCode::InvalidInput,
                "--timeout_ms and --limit must be above zero, "
                "--wait_timeout_ms not below it");
  Options With;
  With.m_Format = FLAGS_format == "json" ? Format::Json : Format::Text;
  With.m_Yes = FLAGS_yes;
  With.m_Wait = FLAGS_wait;
  With.m_WaitFor = std::chrono::milliseconds(FLAGS_wait_timeout_ms);
  With.m_ChangeId = FLAGS_change_id;
  const char *User = std::getenv("USER");
  With.m_Author = FLAGS_author.empty() && User ? User : FLAGS_author;
  With.m_Limit = static_cast<uint64_t>(FLAGS_limit);
  return With;
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::string Text(std::istreambuf_iterator<char>(File), {});
  if (!File.is_open() || File.bad())
    return fail(ErrorCode::NotFound, Path + " cannot be read");
  return Text;
}

std::optional<bool> askTerminal(std::string_view Question) {
  if (!isatty(STDIN_FILENO))
    return std::nullopt;
  std::cerr << Question << std::flush;
  std::string Answer;
  std::getline(std::cin, Answer);
  return Answer == "y" || Answer == "yes";
}

int failUsage(std::string_view Message) {
  std::cerr << "hyssopcross: " << Message << "\n" << Usage;
  return BadUsage;
}

/// The words of the command. Only `catalogue check` needs no entry VM.
bool needsEntry(const std::vector<std::string> &Words) {
  return Words.size() < 2 || Words[0] != "catalogue" || Words[1] != "check";
}

} // namespace

int main(int Argc, char **Argv) {
  auto Settings = readSettings(Argc, Argv, Usage);
  if (!Settings)
    return failUsage(Settings.error().m_Message);
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  auto With = readOptions();
  if (!With)
    return failUsage(With.error().m_Message);
  auto Entries = readEntries();
  if (!Entries)
    return failUsage(Entries.error().m_Message);
  if (Entries.value().empty() && !Words.empty() && needsEntry(Words))
    return failUsage("--entry is needed");
  SystemClock Now;
  HttpClient Http(Entries.value(), std::chrono::milliseconds(FLAGS_timeout_ms));
  Surroundings Around;
  Around.m_Client = &Http;
  Around.m_Clock = &Now;
  Around.m_Pause = [](Duration For) { std::this_thread::sleep_for(For); };
  Around.m_ReadFile = readFile;
  Around.m_Ask = askTerminal;
  Around.m_Out = [](std::string_view Text) { std::cout << Text; };
  Around.m_Err = [](std::string_view Text) { std::cerr << Text; };
  return runCommand(Around, With.value(), Words);
}
