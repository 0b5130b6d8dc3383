#include "hyssopcross/faultsoak/VmProcess.h"
#include "hyssopcross/base/Invariant.h"
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hyssopcross::faultsoak {

VmProcess::~VmProcess() {
  if (!isRunning())
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  ::waitpid(m_Id, nullptr, 0);
}

Result<void> VmProcess::start() {
  HYSSOPCROSS_INVARIANT(!isRunning(), "a VM is started once at a time");
  std::vector<char *> Arguments;
  for (std::string &Each : m_Arguments)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, m_LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  int Failure = ::posix_spawn(&m_Id, Arguments.front(), &Files, nullptr,
                              Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Failure == 0)
    return boost::outcome_v2::success();
  m_Id = 0;
  return fail(ErrorCode::Unavailable, "cannot start " + m_Arguments.front() +
                                          ": " + std::strerror(Failure));
}

void VmProcess::signal(int Number) {
  if (isRunning())
    ::kill(m_Id, Number);
}

std::optional<int> VmProcess::takeEnd() {
  int Status = 0;
  if (!isRunning() || ::waitpid(m_Id, &Status, WNOHANG) != m_Id)
    return std::nullopt;
  m_Id = 0;
  return Status;
}

} // namespace hyssopcross::faultsoak
