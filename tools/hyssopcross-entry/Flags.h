#ifndef HYSSOPCROSS_TOOLS_ENTRY_FLAGS_H
#define HYSSOPCROSS_TOOLS_ENTRY_FLAGS_H

#include "hyssopcross/gateway/Settings.h"

namespace hyssopcross::entryvm {

/// Sets flags from the file given by --config. Fails with InvalidInput and
/// leaves the flags unchanged if the file cannot be read.
Result<void> readSettingsFile();

/// Builds settings from the flags. Fails with InvalidInput if a value is
/// missing or out of range.
Result<gateway::Settings> settingsFromFlags();

} // namespace hyssopcross::entryvm

#endif
