#ifndef HYSSOPCROSS_BASE_SETTINGS_H
#define HYSSOPCROSS_BASE_SETTINGS_H

#include "hyssopcross/base/Error.h"
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross {

/// An IPv4 address and port of a listener.
struct Address {
  std::string m_Host;
  uint16_t m_Port = 0;

  /// The form host:port.
  std::string toString() const;

  bool operator==(const Address &) const = default;
};

/// A number that a flag gives, and the range that it must be in.
struct NumberFlag {
  const char *m_Name;
  double m_Value;
  double m_Least;
  double m_Most;
};

/// An address that a flag gives, and where it goes once parsed.
struct AddressFlag {
  const char *m_Name;
  const std::string &m_Text;
  Address &m_Target;
};

/// Checks that each number is in its range. Fails with InvalidInput on the
/// first that is not, naming its flag.
Result<void> checkNumberFlags(std::span<const NumberFlag> Flags);

/// Parses each address. Fails with InvalidInput on the first that is none,
/// naming its flag.
Result<void> readAddressFlags(std::span<const AddressFlag> Flags);

/// Reads command-line flags with gflags. A flag that the command line does not
/// set is taken from the environment variable HYSSOPCROSS_<NAME> in capitals,
/// where that is set. Call first in main; the remaining arguments that are not
/// flags stay in Argv. Fails on an environment value that does not parse;
/// a bad command-line flag ends the process with gflags' own message.
Result<void> readSettings(int &Argc, char **&Argv, std::string_view Usage);

/// Parses host:port with an IPv4 host and a port from 1 to 65535.
Result<Address> parseAddress(std::string_view Text);

/// Splits Text at each Separator and leaves out empty parts.
std::vector<std::string_view> splitList(std::string_view Text, char Separator);

} // namespace hyssopcross

#endif
