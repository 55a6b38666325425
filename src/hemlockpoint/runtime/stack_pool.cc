#include "hemlockpoint/runtime/stack_pool.h"

#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <vector>

namespace hemlockpoint {

namespace {

// Stacks are mapped in chunks; only the pages that were used are resident.
constexpr std::size_t kStacksPerChunk = 16;

std::size_t PageBytes() {
  return static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace

struct StackPool::State {
  explicit State(std::size_t stack_bytes)
      : m_stack_bytes(stack_bytes), m_slot_bytes(stack_bytes + PageBytes()) {}

  ~State() {
    for (char* chunk : m_chunks) {
      ::munmap(chunk, m_slot_bytes * kStacksPerChunk);
    }
  }

  State(const State&) = delete;
  State& operator=(const State&) = delete;

  // Maps a chunk and adds its stacks to the free ones.
  void AddChunk() {
    m_chunks.reserve(m_chunks.size() + 1);
    m_free_slots.reserve((m_chunks.size() + 1) * kStacksPerChunk);
    const std::size_t chunk_bytes = m_slot_bytes * kStacksPerChunk;
    void* const mapped =
        ::mmap(nullptr, chunk_bytes, PROT_READ | PROT_WRITE,
               MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (mapped == MAP_FAILED) {
      throw std::bad_alloc();
    }
    char* const chunk = static_cast<char*>(mapped);
    const std::size_t guard_bytes = m_slot_bytes - m_stack_bytes;
    for (std::size_t i = 0; i < kStacksPerChunk; ++i) {
      if (::mprotect(chunk + i * m_slot_bytes, guard_bytes, PROT_NONE) != 0) {
        ::munmap(chunk, chunk_bytes);
        throw std::bad_alloc();
      }
    }
    m_chunks.push_back(chunk);
    for (std::size_t i = kStacksPerChunk; i > 0; --i) {
      m_free_slots.push_back(chunk + (i - 1) * m_slot_bytes);
    }
  }

  std::size_t m_stack_bytes;
  // A guard page and the stack above it.
  std::size_t m_slot_bytes;
  std::vector<char*> m_chunks;
  std::vector<char*> m_free_slots;
  std::size_t m_used = 0;
};

StackPool::StackPool(std::size_t stack_bytes)
    : m_state(std::make_shared<State>(stack_bytes)) {}

boost::context::stack_context StackPool::allocate() {
  if (m_state->m_free_slots.empty()) {
    m_state->AddChunk();
  }
  // The most recently used stack, whose pages are resident.
  char* const slot = m_state->m_free_slots.back();
  m_state->m_free_slots.pop_back();
  ++m_state->m_used;
  boost::context::stack_context stack;
  stack.size = m_state->m_stack_bytes;
  stack.sp = slot + m_state->m_slot_bytes;
  return stack;
}

void StackPool::deallocate(boost::context::stack_context& stack) noexcept {
  // AddChunk() has reserved the room for this.
  m_state->m_free_slots.push_back(static_cast<char*>(stack.sp) -
                                  m_state->m_slot_bytes);
  --m_state->m_used;
}

std::size_t StackPool::used() const {
  return m_state->m_used;
}

std::size_t StackPool::bytes_per_stack() const {
  return m_state->m_slot_bytes;
}

}  // namespace hemlockpoint
