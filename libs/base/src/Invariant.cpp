#include "hyssopcross/base/Invariant.h"
#include <cstdio>
#include <cstdlib>
#include <string>

namespace hyssopcross {

namespace {

void stopProcess(std::string_view What) {
  std::fprintf(stderr, "event=invariant_broken what=\"%.*s\"\n",
               static_cast<int>(What.size()), What.data());
  std::abort();
}

InvariantHandler CurrentHandler = stopProcess;

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler Handler) {
  InvariantHandler Previous = CurrentHandler;
  CurrentHandler = Handler;
  return Previous;
}

void reportBrokenInvariant(const char *Condition, const char *What,
                           const char *File, int Line) {
  std::string Text = std::string(What) + " (" + Condition + " at " + File +
                     ":" + std::to_string(Line) + ")";
  CurrentHandler(Text);
}

} // namespace hyssopcross
