#ifndef HYSSOPCROSS_TOOLS_WAITING_H
#define HYSSOPCROSS_TOOLS_WAITING_H

#include "Output.h"

namespace hyssopcross::tool {

/// Sends a change until an entry VM knows how it ended, always under the same
/// change id. Then waits until it is in force, unless told otherwise, and
/// prints the result. Returns the exit code.
int sendChange(const Run &On, const std::string &Path, Json Body);

/// Prints which live entry VMs have confirmed a version.
void printInForce(const Run &On, const Json &Status);

} // namespace hyssopcross::tool

#endif
