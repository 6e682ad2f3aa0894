#ifndef DANDELIONSCALE_CORE_MEMORY_BUDGET_H_
#define DANDELIONSCALE_CORE_MEMORY_BUDGET_H_

#include <cstddef>

namespace dandelionscale {

/// \brief A number of bytes that several users share.
class MemoryBudget {
 public:
  /// \brief The bytes of one user, which are given back on destruction. The
  ///        budget must outlive it.
  class Share {
   public:
    explicit Share(MemoryBudget& budget) : budget(budget) {}
    ~Share() { this->budget.used -= this->bytes; }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// \brief Gives the bytes back.
    void Release() { this->Resize(0); }
    /// \brief Changes the size of the share.
    /// \returns false, without a change, if the budget does not allow more.
    bool Resize(std::size_t new_bytes) {
      const std::size_t others = this->budget.used - this->bytes;
      const bool grows = new_bytes > this->bytes;
      if (grows && others + new_bytes > this->budget.limit) return false;
      this->budget.used = others + new_bytes;
      this->bytes = new_bytes;
      return true;
    }

   private:
    MemoryBudget& budget;
    std::size_t bytes = 0;
  };

  explicit MemoryBudget(std::size_t limit) : limit(limit) {}

  /// \brief Changes the limit, in bytes. Shares in use are not reduced.
  void SetLimit(std::size_t new_limit) { this->limit = new_limit; }
  /// \returns the bytes of all shares.
  std::size_t Used() const { return this->used; }

 private:
  std::size_t limit;
  std::size_t used = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_MEMORY_BUDGET_H_
