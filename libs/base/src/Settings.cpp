#include "hyssopcross/base/Settings.h"
#include <arpa/inet.h>
#include <charconv>
#include <cstdlib>
#include <gflags/gflags.h>

namespace hyssopcross {

namespace {

constexpr std::string_view EnvironmentPrefix = "HYSSOPCROSS_";

std::string environmentName(std::string_view Flag) {
  std::string Name(EnvironmentPrefix);
  for (char C : Flag)
    Name += static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Name;
}

Result<void> readFromEnvironment(const gflags::CommandLineFlagInfo &Flag) {
  std::string Name = environmentName(Flag.name);
  const char *Value = std::getenv(Name.c_str());
  if (!Value || !Flag.is_default)
    return boost::outcome_v2::success();
  std::string Set = gflags::SetCommandLineOption(Flag.name.c_str(), Value);
  if (Set.empty())
    return fail(ErrorCode::InvalidInput, "environment variable " + Name +
                                             " has the unusable value \"" +
                                             Value + "\"");
  return boost::outcome_v2::success();
}

} // namespace

std::string Address::toString() const {
  return m_Host + ":" + std::to_string(m_Port);
}

Result<void> readSettings(int &Argc, char **&Argv, std::string_view Usage) {
  gflags::SetUsageMessage(std::string(Usage));
  gflags::SetVersionString(HYSSOPCROSS_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, /*remove_flags=*/true);
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    auto Read = readFromEnvironment(Flag);
    if (!Read)
      return Read;
  }
  return boost::outcome_v2::success();
}

Result<Address> parseAddress(std::string_view Text) {
  std::string Quoted = "\"" + std::string(Text) + "\"";
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(ErrorCode::InvalidInput, "address " + Quoted + " has no port");
  Address Parsed;
  Parsed.m_Host = std::string(Text.substr(0, Colon));
  in_addr Binary;
  if (inet_pton(AF_INET, Parsed.m_Host.c_str(), &Binary) != 1)
    return fail(ErrorCode::InvalidInput,
                "address " + Quoted + " does not start with an IPv4 address");
  std::string_view Port = Text.substr(Colon + 1);
  auto [End, Failure] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.m_Port);
  if (Failure != std::errc() || End != Port.data() + Port.size() ||
      Parsed.m_Port == 0)
    return fail(ErrorCode::InvalidInput,
                "address " + Quoted + " has a port outside 1 to 65535");
  return Parsed;
}

Result<void> checkNumberFlags(std::span<const NumberFlag> Flags) {
  for (const NumberFlag &Each : Flags) {
    bool IsInRange =
        Each.m_Value >= Each.m_Least && Each.m_Value <= Each.m_Most;
    if (!IsInRange)
      return fail(ErrorCode::InvalidInput,
                  std::string("--") + Each.m_Name + " must be from " +
                      std::to_string(Each.m_Least) + " to " +
                      std::to_string(Each.m_Most));
  }
  return boost::outcome_v2::success();
}

Result<void> readAddressFlags(std::span<const AddressFlag> Flags) {
  for (const AddressFlag &Each : Flags) {
    auto Parsed = parseAddress(Each.m_Text);
    if (!Parsed)
      return fail(ErrorCode::InvalidInput, std::string("--") + Each.m_Name +
                                               ": " + Parsed.error().m_Message);
    Each.m_Target = Parsed.value();
  }
  return boost::outcome_v2::success();
}

std::vector<std::string_view> splitList(std::string_view Text, char Separator) {
  std::vector<std::string_view> Parts;
  while (!Text.empty()) {
    size_t End = Text.find(Separator);
    std::string_view Part = Text.substr(0, End);
    if (!Part.empty())
      Parts.push_back(Part);
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return Parts;
}

} // namespace hyssopcross
