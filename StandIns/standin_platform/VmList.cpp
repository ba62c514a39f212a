#include "StandIns/standin_platform/VmList.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Platform/EtcdMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

json ParseBody(const std::string& aBody)
{
  json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    throw parse_error("body is not a JSON object");
  }
  return body;
}

} // namespace

vm_list::vm_list(duration aLag)
  : mLag(aLag)
{
}

void vm_list::SetLag(duration aLag)
{
  mLag = aLag;
}

void vm_list::EndLast(const vm_name& aName, time_point aNow)
{
  DropHidden(aNow - mLag);
  std::vector<record>& records = mRecords[aName];
  if (!records.empty()) {
    records.back().mTo = std::min(records.back().mTo, aNow);
  }
}

void vm_list::DropHidden(time_point aShown)
{
  for (auto& [name, records] : mRecords) {
    std::erase_if(records,
                  [&](const record& aRecord) { return aRecord.mTo <= aShown; });
  }
  std::erase_if(mRecords,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void vm_list::Put(const listed_vm& aVm, duration aTtl, time_point aNow)
{
  EndLast(aVm.mName, aNow);
  const time_point end =
    aTtl == duration::zero() ? time_point::max() : aNow + aTtl;
  mRecords[aVm.mName].push_back({ aNow, end, aVm });
}

void vm_list::Remove(const vm_name& aName, time_point aNow)
{
  EndLast(aName, aNow);
}

std::vector<listed_vm> vm_list::Visible(time_point aNow)
{
  const time_point shown = aNow - mLag;
  DropHidden(shown);
  std::vector<listed_vm> vms;
  for (const auto& [name, records] : mRecords) {
    if (records.front().mFrom <= shown) {
      vms.push_back(records.front().mVm);
    }
  }
  return vms;
}

listed_vm ParseListedVm(const std::string& aName, const std::string& aBody)
{
  json vm = ParseBody(aBody);
  vm["name"] = aName;
  return DecodeVmList(json{ { "vms", json::array({ vm }) } }.dump()).mVms.at(0);
}

duration ParseVmTtl(const std::string& aBody)
{
  const json ttl = ParseBody(aBody).value("ttlMs", json(0U));
  if (!ttl.is_number_unsigned()) {
    throw parse_error("ttlMs is not a number of milliseconds");
  }
  return std::chrono::milliseconds(ttl.get<uint32_t>());
}

std::string WriteVmList(const std::vector<listed_vm>& aVms)
{
  json vms = json::array();
  for (const listed_vm& vm : aVms) {
    vms.push_back({ { "name", vm.mName.Value() },
                    { "host", vm.mHost },
                    { "peerPort", vm.mPeerPort },
                    { "failureDomain", vm.mFailureDomain.Value() },
                    { "leaving", vm.mLeaving } });
  }
  return json{ { "vms", vms } }.dump();
}

} // namespace parsleystair
