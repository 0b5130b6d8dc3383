#include "Names.h"
#include "hyssopcross/catalogue/Codec.h"
#include <algorithm>
#include <cmath>

namespace hyssopcross::catalogue {

namespace {

constexpr size_t MaxNameBytes = 63;
constexpr size_t MaxOwnerBytes = 200;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
}

bool isName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameBytes && Name.front() != '-' &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

Result<void> checkName(const std::string &Where, std::string_view Field,
                       std::string_view Name) {
  if (isName(Name))
    return boost::outcome_v2::success();
  return fail(ErrorCode::InvalidInput,
              Where + ": field " + std::string(Field) +
                  " must be 1 to 63 of a-z, 0-9 and -, and not start with -");
}

/// VMs have the names of the platform's list, which allows more characters.
Result<void> checkVmName(const std::string &Name) {
  auto Fits = [](char C) {
    return isNameCharacter(C) || (C >= 'A' && C <= 'Z') || C == '.' || C == '_';
  };
  if (!Name.empty() && Name.size() <= MaxNameBytes &&
      std::all_of(Name.begin(), Name.end(), Fits))
    return boost::outcome_v2::success();
  return fail(ErrorCode::InvalidInput,
              entryLabel("VM", Name) +
                  ": the name must be 1 to 63 of letters, digits, -, . and _");
}

Result<void> checkOwner(const std::string &Where, const std::string &Owner) {
  auto IsControl = [](unsigned char C) { return C < ' ' || C == 0x7f; };
  bool Blank = Owner.find_first_not_of(' ') == std::string::npos;
  if (Blank)
    return fail(ErrorCode::InvalidInput, Where + ": field owner is empty");
  if (Owner.size() > MaxOwnerBytes ||
      std::any_of(Owner.begin(), Owner.end(), IsControl))
    return fail(ErrorCode::InvalidInput,
                Where + ": field owner must be at most 200 bytes without "
                        "control characters");
  return boost::outcome_v2::success();
}

Result<void> checkLimits(const std::string &Where,
                         const ServiceLimits &Limits) {
  for (const LimitField &Field : limitFields()) {
    double Value = Field.m_Get(Limits);
    if (!(Value >= Field.m_Low && Value <= Field.m_High))
      return fail(ErrorCode::InvalidInput,
                  Where + ": field limits." + Field.m_Name + " is " +
                      numberText(Value) + ", outside " +
                      numberText(Field.m_Low) + " to " +
                      numberText(Field.m_High));
  }
  if (Limits.m_Connections < Limits.m_Slots)
    return fail(ErrorCode::InvalidInput,
                Where + ": field limits.connections is less than limits.slots");
  return boost::outcome_v2::success();
}

Result<void> checkService(const ServiceEntry &Entry) {
  std::string Where = entryLabel("service", Entry.m_Name);
  auto Named = checkName(Where, "name", Entry.m_Name);
  if (!Named)
    return Named;
  auto Owned = checkOwner(Where, Entry.m_Owner);
  if (!Owned)
    return Owned;
  return checkLimits(Where, Entry.m_Limits);
}

Result<void> checkDataCentre(const DataCentreEntry &Entry) {
  std::string Where = entryLabel("data centre", Entry.m_Name);
  auto Named = checkName(Where, "name", Entry.m_Name);
  if (!Named)
    return Named;
  return checkName(Where, "region", Entry.m_Region);
}

} // namespace

Result<void> validate(const Catalogue &Value) {
  for (const auto &[Name, Entry] : Value.m_Services) {
    auto Valid = checkService(Entry);
    if (!Valid)
      return Valid;
  }
  for (const auto &[Name, Entry] : Value.m_DataCentres) {
    auto Valid = checkDataCentre(Entry);
    if (!Valid)
      return Valid;
  }
  for (const std::string &Name : Value.m_VmsOut) {
    auto Valid = checkVmName(Name);
    if (!Valid)
      return Valid;
  }
  return boost::outcome_v2::success();
}

} // namespace hyssopcross::catalogue
