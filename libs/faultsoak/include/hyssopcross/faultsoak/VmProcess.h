#ifndef HYSSOPCROSS_FAULTSOAK_VMPROCESS_H
#define HYSSOPCROSS_FAULTSOAK_VMPROCESS_H

#include "hyssopcross/base/Error.h"
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hyssopcross::faultsoak {

/// One entry VM as a process of its own. Signals go only to the process that
/// this object started; it is killed when the object ends.
class VmProcess {
public:
  /// Arguments include the program; what it writes is appended to LogFile.
  VmProcess(std::vector<std::string> Arguments, std::string LogFile)
      : m_Arguments(std::move(Arguments)), m_LogFile(std::move(LogFile)) {}
  ~VmProcess();
  VmProcess(const VmProcess &) = delete;
  VmProcess &operator=(const VmProcess &) = delete;

  /// Fails with Unavailable if the process cannot be started.
  Result<void> start();
  void signal(int Number);
  /// The wait status of a process that has ended since it was last asked for.
  std::optional<int> takeEnd();
  bool isRunning() const { return m_Id > 0; }
  /// Process id; zero while no process runs.
  pid_t id() const { return m_Id; }

private:
  std::vector<std::string> m_Arguments;
  std::string m_LogFile;
  pid_t m_Id = 0;
};

} // namespace hyssopcross::faultsoak

#endif
