#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <map>

namespace parsleystair {

/// The platform's list of VMs, which is shown as it was some time ago.
class vm_list
{
public:
  explicit vm_list(duration aLag);

  void SetLag(duration aLag);

  /// Registers a VM or replaces its entry. It leaves the list `aTtl` after
  /// this call; 0 for never.
  void Put(const listed_vm& aVm, duration aTtl, time_point aNow);

  void Remove(const vm_name& aName, time_point aNow);

  /// The list as it was at `aNow` less the lag, in order of name.
  std::vector<listed_vm> Visible(time_point aNow);

private:
  struct record
  {
    time_point mFrom;
    time_point mTo;
    listed_vm mVm;
  };

  void DropHidden(time_point aShown);
  void EndLast(const vm_name& aName, time_point aNow);

  duration mLag;
  /// Records of each VM in order of time.
  std::map<vm_name, std::vector<record>> mRecords;
};

/// Reads the body of `PUT /vms/NAME`: `host`, `peerPort`, `failureDomain` and,
/// optionally, `leaving`. Throws `parse_error`.
listed_vm ParseListedVm(const std::string& aName, const std::string& aBody);

/// Optional member `ttlMs` of the same body. Throws `parse_error`.
duration ParseVmTtl(const std::string& aBody);

/// Body of `GET /vms`.
std::string WriteVmList(const std::vector<listed_vm>& aVms);

} // namespace parsleystair
