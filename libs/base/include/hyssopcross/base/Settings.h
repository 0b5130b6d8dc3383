#ifndef HYSSOPCROSS_BASE_SETTINGS_H
#define HYSSOPCROSS_BASE_SETTINGS_H

#include "hyssopcross/base/Error.h"
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
};

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
