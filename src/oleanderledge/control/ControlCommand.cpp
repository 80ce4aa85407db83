#include "oleanderledge/control/ControlCommand.hpp"

#include "oleanderledge/link/internal/StructCodec.hpp"

namespace oleanderledge {

namespace {

struct CommandRecord
{
  std::uint32_t type = 0;
  std::string body;

  template<class Visitor>
  void Visit(Visitor& aVisitor)
  {
    aVisitor(this->type, this->body);
  }
};

template<std::size_t kIndex = 0>
Result<ControlCommand> DecodeCommandBody(std::size_t aType, std::string_view aBody)
{
  if constexpr (kIndex < std::variant_size_v<ControlCommand>) {
    if (aType != kIndex) {
      return DecodeCommandBody<kIndex + 1>(aType, aBody);
    }
    auto decoded = DecodeStruct<std::variant_alternative_t<kIndex, ControlCommand>>(aBody);
    if (!decoded) {
      return Fail(decoded.error().code, decoded.error().message);
    }
    return ControlCommand(std::move(decoded.value()));
  } else {
    return Fail(ResultCode::MalformedFrame, "unknown command type " + std::to_string(aType));
  }
}

} // namespace

std::string EncodeCommand(const ControlCommand& aCommand)
{
  return EncodeStruct(
    CommandRecord{ static_cast<std::uint32_t>(aCommand.index()),
                   std::visit([](const auto& aValue) { return EncodeStruct(aValue); }, aCommand) });
}

Result<ControlCommand> DecodeCommand(std::string_view aBytes)
{
  auto record = DecodeStruct<CommandRecord>(aBytes);
  if (!record) {
    return Fail(record.error().code, record.error().message);
  }
  return DecodeCommandBody(record.value().type, record.value().body);
}

std::string DatabaseOf(const ControlCommand& aCommand)
{
  return std::visit(
    [](const auto& aValue) -> std::string {
      if constexpr (requires { aValue.database; }) {
        return aValue.database;
      } else {
        return {};
      }
    },
    aCommand);
}

} // namespace oleanderledge
