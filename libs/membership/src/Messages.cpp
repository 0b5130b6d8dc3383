#include "hyssopcross/membership/Messages.h"
#include "hyssopcross/membership/Encoding.h"

namespace hyssopcross::membership {

namespace {

size_t recordSize(const store::VmRecord &Record) {
  return stringField(Record.m_Name) + EnumField + EnumField +
         stringField(Record.m_DataCentre) + stringField(Record.m_Address) +
         stringField(Record.m_PeerAddress) + stringField(Record.m_Service) +
         StructEnd;
}

} // namespace

const char *vmStatusName(VmStatus Status) {
  switch (Status) {
  case VmStatus::Alive:
    return "alive";
  case VmStatus::Suspect:
    return "suspect";
  case VmStatus::Leaving:
    return "leaving";
  case VmStatus::Dead:
    return "dead";
  }
  return "dead";
}

size_t encodedSize(const VmInfo &Info) {
  return stringField(Info.m_Name) + integerField(Info.m_Incarnation) +
         stringField(Info.m_DataCentre) + stringField(Info.m_Region) +
         stringField(Info.m_Address) + stringField(Info.m_PeerAddress) +
         StructEnd;
}

size_t encodedSize(const DigestEntry &Entry) {
  return StructField + encodedSize(Entry.m_Info) +
         integerField(Entry.m_Counter) + EnumField + StructEnd;
}

size_t encodedSize(const DataCentreBeat &Beat) {
  return stringField(Beat.m_DataCentre) + integerField(Beat.m_Beat) + StructEnd;
}

size_t encodedSize(const Heartbeat &Message) {
  size_t Size = StructField + encodedSize(Message.m_From) +
                integerField(Message.m_Counter) + FlagField +
                integerField(Message.m_ViewHash) +
                listField(Message.m_Beats.size()) +
                listField(Message.m_Entries.size()) + StructEnd;
  for (const DataCentreBeat &Beat : Message.m_Beats)
    Size += encodedSize(Beat);
  for (const DigestEntry &Entry : Message.m_Entries)
    Size += encodedSize(Entry);
  return Size;
}

size_t encodedSize(const VmListRequest &Message) {
  return stringField(Message.m_From) + integerField(Message.m_Hash) + StructEnd;
}

size_t encodedSize(const VmListAnswer &Message) {
  size_t Size =
      stringField(Message.m_From) + integerField(Message.m_Hash) + StructEnd;
  if (!Message.m_Records)
    return Size;
  Size += listField(Message.m_Records->size());
  for (const store::VmRecord &Record : *Message.m_Records)
    Size += recordSize(Record);
  return Size;
}

} // namespace hyssopcross::membership
