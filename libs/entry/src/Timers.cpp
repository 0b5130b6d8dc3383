#include "hyssopcross/entry/Timers.h"
#include <boost/asio/post.hpp>

namespace hyssopcross::entry {

void Timers::post(std::function<void()> Task) {
  boost::asio::post(m_Loop, std::move(Task));
}

void Timers::schedule(const std::string &Name, TimePoint Due,
                      std::function<void()> Task) {
  post([this, Name, Due, Task = std::move(Task)] {
    auto Timer = m_Timers.try_emplace(Name, m_Loop).first;
    Timer->second.expires_after(
        std::max(Duration::zero(), Due - m_Clock.now()));
    Timer->second.async_wait([Task](const boost::system::error_code &Ended) {
      if (!Ended)
        Task();
    });
  });
}

} // namespace hyssopcross::entry
