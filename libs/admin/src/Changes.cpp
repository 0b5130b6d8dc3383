#include "Responses.h"
#include "hyssopcross/catalogue/Codec.h"
#include "hyssopcross/catalogue/Editor.h"
#include "hyssopcross/records/Perform.h"
#include <algorithm>

namespace hyssopcross::admin {

namespace {

using namespace catalogue;

constexpr size_t MaxChangeIdBytes = 100;
constexpr size_t MaxAuthorBytes = 200;

/// A field of the request, from the JSON body or else from the query.
std::string readField(const AdminRequest &Request, const Json &Body,
                      const std::string &Name) {
  auto Field = Body.find(Name);
  if (Field != Body.end() && Field->is_string())
    return Field->get<std::string>();
  auto Query = Request.m_Query.find(Name);
  return Query == Request.m_Query.end() ? std::string() : Query->second;
}

bool isChangeId(const std::string &Id) {
  auto Fits = [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_' || C == '.';
  };
  return !Id.empty() && Id.size() <= MaxChangeIdBytes &&
         std::all_of(Id.begin(), Id.end(), Fits);
}

/// The JSON object of the body; an empty one if there is no body.
Result<Json> readBody(const AdminRequest &Request) {
  if (Request.m_Body.empty())
    return Json(Json::object());
  Json Body = Json::parse(Request.m_Body, nullptr, false);
  if (!Body.is_object())
    return fail(ErrorCode::InvalidInput, "the body must be a JSON object");
  return Body;
}

AdminResponse invalid(std::string_view Message) {
  return respondError(400, "invalid-request", Message);
}

/// Takes the editor's next request to the store, or its pause.
EditorAction proceed(AdminContext &Context, EditorState &State,
                     const EditorAction &Action) {
  auto Now = [&] {
    return records::Instant{Context.m_Clock->now(), Context.m_Clock->wallNow()};
  };
  if (auto *Read = std::get_if<records::ReadRow>(&Action)) {
    auto Event = records::perform(*Context.m_Table, *Read);
    return step(State, Event, Now());
  }
  if (auto *Commit = std::get_if<records::CommitRows>(&Action)) {
    auto Event = records::perform(*Context.m_Table, *Commit);
    return step(State, Event, Now());
  }
  Context.m_Pause(std::get<EditorPause>(Action).m_For);
  return editorWoke(State, Now());
}

ChangeResult runChange(AdminContext &Context, ChangeRequest Request) {
  EditorState State(std::move(Request), {});
  TimePoint Until = Context.m_Clock->now() + Context.m_ChangeTimeout;
  EditorAction Action =
      startEditor(State, {Context.m_Clock->now(), Context.m_Clock->wallNow()});
  while (!std::holds_alternative<ChangeResult>(Action)) {
    if (Context.m_Clock->now() >= Until)
      return stopEditor(State);
    Action = proceed(Context, State, Action);
  }
  return std::get<ChangeResult>(Action);
}

AdminResponse respondAccepted(AdminContext &Context, const std::string &Id,
                              const ChangeResult &Result) {
  if (Result.m_Record)
    Context.m_Accepted(
        std::make_shared<const Catalogue>(Result.m_Record->m_Catalogue));
  pruneVersions(*Context.m_Table, Result.m_Version, Context.m_KeepVersions);
  return respond(200, {{"state", "accepted"},
                       {"version", Result.m_Version},
                       {"change_id", Id}});
}

AdminResponse respondRefused(uint16_t Status, std::string_view Code,
                             const std::string &Id,
                             const ChangeResult &Result) {
  return respond(Status, {{"code", Code},
                          {"message", Result.m_Message},
                          {"change_id", Id},
                          {"current_version", Result.m_Version}});
}

AdminResponse change(AdminContext &Context, const AdminRequest &Request,
                     const Json &Body, Edit Wanted) {
  std::string Id = readField(Request, Body, "change_id");
  if (!isChangeId(Id))
    return invalid("change_id must be 1 to 100 letters, digits, -, _ or .");
  std::string Author = readField(Request, Body, "author");
  if (Author.size() > MaxAuthorBytes)
    return invalid("author must have at most 200 bytes");
  ChangeResult Result =
      runChange(Context, {Id, std::move(Author), std::move(Wanted)});
  switch (Result.m_End) {
  case ChangeEnd::Accepted:
    return respondAccepted(Context, Id, Result);
  case ChangeEnd::Conflict:
    return respondRefused(409, "conflict", Id, Result);
  case ChangeEnd::Invalid:
    return respondRefused(400, "invalid-change", Id, Result);
  case ChangeEnd::NotAccepted:
    return respondRefused(503, "not-accepted", Id, Result);
  case ChangeEnd::Unknown:
    return respondRefused(504, "unknown", Id, Result);
  }
  return respondRefused(504, "unknown", Id, Result);
}

} // namespace

AdminResponse applyDocument(AdminContext &Context,
                            const AdminRequest &Request) {
  auto Body = readBody(Request);
  if (!Body)
    return invalid(Body.error().m_Message);
  auto Base = Body.value().find("base_version");
  if (Base == Body.value().end() || !Base->is_number_unsigned())
    return invalid("base_version must be the version that the document was "
                   "made from, or 0 if there is none");
  auto Document = Body.value().find("catalogue");
  if (Document == Body.value().end() || !Document->is_object())
    return invalid("catalogue must be the document as a JSON object");
  auto Proposed = readJson(dump(*Document));
  if (!Proposed)
    return respondError(400, "invalid-document", Proposed.error().m_Message);
  return change(
      Context, Request, Body.value(),
      ReplaceDocument{Base->get<uint64_t>(), std::move(Proposed).value()});
}

AdminResponse setDataCentre(AdminContext &Context, const AdminRequest &Request,
                            const std::string &Name, bool InService) {
  auto Body = readBody(Request);
  if (!Body)
    return invalid(Body.error().m_Message);
  return change(Context, Request, Body.value(), SetDataCentre{Name, InService});
}

AdminResponse setVm(AdminContext &Context, const AdminRequest &Request,
                    const std::string &Name, bool Out) {
  auto Body = readBody(Request);
  if (!Body)
    return invalid(Body.error().m_Message);
  return change(Context, Request, Body.value(), SetVm{Name, Out});
}

} // namespace hyssopcross::admin
