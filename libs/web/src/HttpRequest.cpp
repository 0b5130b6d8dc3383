#include "hyssopcross/web/HttpServer.h"
#include <strings.h>

namespace hyssopcross::web {

std::string_view HttpRequest::path() const {
  return m_Target.substr(0, m_Target.find('?'));
}

std::string_view HttpRequest::query() const {
  size_t Mark = m_Target.find('?');
  if (Mark == std::string_view::npos)
    return {};
  return m_Target.substr(Mark + 1);
}

std::optional<std::string_view>
HttpRequest::header(std::string_view Name) const {
  for (const auto &[Key, Value] : m_Headers)
    if (Key.size() == Name.size() &&
        strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
      return Value;
  return std::nullopt;
}

std::optional<std::string_view>
HttpRequest::parameter(std::string_view Name) const {
  for (std::string_view Part : splitList(query(), '&')) {
    size_t Equals = Part.find('=');
    if (Equals != std::string_view::npos && Part.substr(0, Equals) == Name)
      return Part.substr(Equals + 1);
  }
  return std::nullopt;
}

} // namespace hyssopcross::web
