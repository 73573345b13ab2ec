/// \file
/// The frames in which messages between proxies travel.

#include "Relay/RelayCodec.h"

#include "Common/Codec.h"

#include <utility>

namespace corianderdyke {

namespace {

/// A frame unpacks to this much at most: the largest statement or answer that
/// a stream carries, and some.
constexpr std::size_t MaxFrameContent = 8U << 20U; // bytes

TargetCommand command(TargetCommand::Kind What, const char *Text = "") {
  TargetCommand Out;
  Out.Operation = What;
  Out.Text = Text;
  Out.Priority = 1;
  Out.MaxQueueTime = Millis(50);
  return Out;
}

} // namespace

std::string RelayCodec::compressionDictionary() {
  TargetCommand Own = command(TargetCommand::Kind::Run, "STORE ");
  Own.NeedsPrevious = true;
  TargetCommand Read = command(TargetCommand::Kind::Run, "FETCH ");
  Read.MinPosition = LogPosition{1, 1};
  StatementAnswer Empty;
  Empty.Position = LogPosition{1, 1};
  StatementAnswer Rows = Empty;
  Rows.Rows = {""};
  Rows.Signature = " ";
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

RelayCodec::RelayCodec() : Packer(compressionDictionary()) {}

std::string RelayCodec::write(const std::vector<RelayMessage> &Messages) {
  return FormatVersion + Packer.compress(encode(Messages));
}

Expected<std::vector<RelayMessage>> RelayCodec::read(const std::string &Frame) {
  if (Frame.empty() || Frame.front() != FormatVersion)
    return fail(ErrorCode::Corrupt, "a frame of another format");
  const auto Bytes = Packer.decompress(Frame.substr(1), MaxFrameContent);
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  return decode<std::vector<RelayMessage>>(*Bytes);
}

RelayOutbox::~RelayOutbox() {
  if (FlushTimer != 0)
    Timers.cancel(FlushTimer);
}

void RelayOutbox::reset(std::shared_ptr<PeerStream> To) {
  Batch.clear();
  Stream = std::move(To);
}

void RelayOutbox::send(RelayMessage What) {
  if (!Stream)
    return;
  Batch.push_back(std::move(What));
  if (Batch.size() >= MaxBatch)
    return flush();
  if (FlushTimer == 0)
    FlushTimer = Timers.after(Millis(0), [this] {
      FlushTimer = 0;
      flush();
    });
}

void RelayOutbox::flush() {
  if (Stream && !Batch.empty())
    Stream->send(Frames.write(std::exchange(Batch, {})));
}

} // namespace corianderdyke
