#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace parsleystair {

class byte_budget;

/// Memory of a text outside of the object itself.
inline size_t HeapBytes(const std::string& aText)
{
  const size_t bytes = aText.capacity();
  return bytes > std::string().capacity() ? bytes : 0;
}

/// Keeps bytes of a peer in memory, such as an answer that is not whole yet.
/// Belongs to one budget for as long as it exists.
class byte_holder
{
public:
  explicit byte_holder(byte_budget& aBudget);
  virtual ~byte_holder();
  byte_holder(const byte_holder&) = delete;
  byte_holder& operator=(const byte_holder&) = delete;

  /// Number of bytes held now.
  [[nodiscard]] virtual size_t HeldBytes() const = 0;

  /// The budget is exceeded, and this holder has more bytes than the others:
  /// drops them, and what they belong to. May destroy the holder.
  virtual void DropBytes() = 0;

protected:
  /// Tells the budget after the number of bytes has changed.
  void UpdateHeldBytes();

private:
  friend class byte_budget;

  byte_budget& mBudget;
  size_t mCounted = 0;
};

/// Bounds the sum of the bytes that many connections hold. A limit for each
/// alone does not: a hundred peers that send without end reach a hundred times
/// that limit.
class byte_budget
{
public:
  /// `aLimit`: bytes of all holders together.
  explicit byte_budget(size_t aLimit)
    : mLimit(aLimit)
  {
  }

  void SetLimit(size_t aLimit) { mLimit = aLimit; }
  [[nodiscard]] size_t Limit() const { return mLimit; }

  /// Bytes as last counted. A holder whose bytes become fewer may be counted
  /// with more until the next `DropExcess`.
  [[nodiscard]] size_t Total() const { return mTotal; }
  [[nodiscard]] bool IsExceeded() const { return mTotal > mLimit; }

  /// Counts the bytes of all holders, and lets the largest drop theirs until
  /// the limit is kept.
  void DropExcess();

  /// Number of holders that had to drop their bytes.
  [[nodiscard]] uint64_t Drops() const { return mDrops; }

private:
  friend class byte_holder;

  void Count(byte_holder& aHolder);

  size_t mLimit;
  size_t mTotal = 0;
  uint64_t mDrops = 0;
  std::set<byte_holder*> mHolders;
};

} // namespace parsleystair
