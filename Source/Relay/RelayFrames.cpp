/// \file
/// The frames in which messages between proxies travel.

#include "Relay/RelayFrames.h"

#include "Common/Codec.h"

#include <utility>

namespace corianderdyke {

namespace {

/// A frame unpacks to this much at most: the largest statement or answer that
/// a stream carries, and some.
constexpr std::size_t MaxFrameContent = 8U << 20U; // bytes

TargetCommand command(TargetCommand::Kind What, const char *Text = "") {
  TargetCommand Out;
  Out.What = What;
  Out.Text = Text;
  Out.Priority = 1;
  Out.MayWait = Millis(50);
  return Out;
}

} // namespace

std::string RelayFrames::sample() {
  TargetCommand Own = command(TargetCommand::Kind::Run, "STORE ");
  Own.NeedsPrevious = true;
  TargetCommand Read = command(TargetCommand::Kind::Run, "FETCH ");
  Read.After = LogPosition{1, 1};
  StatementAnswer Empty;
  Empty.Position = LogPosition{1, 1};
  StatementAnswer Rows = Empty;
  Rows.Rows = {""};
  Rows.Proof = " ";
  StatementAnswer Lags = Empty;
  Lags.Refusal = StatementRefusal{RefusalCode::Lagging, ""};
  return encode(std::vector<RelayMessage>{
             RelayOpen{}, RelayCommands{1, {Read}},
             RelayCommands{1, {command(TargetCommand::Kind::Run, "COMMIT")}},
             RelayCommands{1,
                           {command(TargetCommand::Kind::Begin), Own,
                            command(TargetCommand::Kind::Rollback)}}}) +
         encode(std::vector<RelayMessage>{
             RelayAnswer{1, 1, Lags, std::nullopt},
             RelayAnswer{1, 1, Empty, RelayFloor{{1, 1}, Millis(5)}},
             RelayAnswer{1, 1, Rows, std::nullopt},
             RelayAnswer{1, 1, Empty, std::nullopt}});
}

RelayFrames::RelayFrames() : Packer(sample()) {}

std::string RelayFrames::write(const std::vector<RelayMessage> &Messages) {
  return Format + Packer.pack(encode(Messages));
}

Expected<std::vector<RelayMessage>>
RelayFrames::read(const std::string &Frame) {
  if (Frame.empty() || Frame.front() != Format)
    return fail(ErrorCode::Corrupt, "a frame of another format");
  const auto Bytes = Packer.unpack(Frame.substr(1), MaxFrameContent);
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  return decode<std::vector<RelayMessage>>(*Bytes);
}

RelayOutbox::~RelayOutbox() {
  if (Flushing != 0)
    Timers.cancel(Flushing);
}

void RelayOutbox::reset(std::shared_ptr<PeerStream> To) {
  Kept.clear();
  Stream = std::move(To);
}

void RelayOutbox::send(RelayMessage What) {
  if (!Stream)
    return;
  Kept.push_back(std::move(What));
  if (Kept.size() >= MaxKept)
    return flush();
  if (Flushing == 0)
    Flushing = Timers.after(Millis(0), [this] {
      Flushing = 0;
      flush();
    });
}

void RelayOutbox::flush() {
  if (Stream && !Kept.empty())
    Stream->send(Frames.write(std::exchange(Kept, {})));
}

} // namespace corianderdyke
