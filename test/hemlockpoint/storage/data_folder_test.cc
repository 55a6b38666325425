#include "hemlockpoint/storage/data_folder.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace hemlockpoint {
namespace {

namespace fs = std::filesystem;

class DataFolderTest : public testing::Test {
 protected:
  void SetUp() override {
    const auto* test = testing::UnitTest::GetInstance()->current_test_info();
    m_path = fs::temp_directory_path() /
             ("hemlockpoint-" + std::to_string(::getpid()) + test->name());
    fs::remove_all(m_path);
  }
  void TearDown() override { fs::remove_all(m_path); }

  std::unique_ptr<DataFolder> Open() {
    auto folder = DataFolder::Open(m_path.string(), "new");
    EXPECT_TRUE(folder) << folder.reason();
    return folder ? std::move(*folder) : nullptr;
  }

  static LogEntry MakeEntry(std::uint64_t index, const std::string& data) {
    LogEntry entry;
    entry.m_index = index;
    entry.m_term = 1;
    entry.m_data.m_data = data;
    return entry;
  }

  std::string Read(const char* name) const {
    std::ifstream file(m_path / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void Write(const char* name, const std::string& bytes) const {
    std::ofstream(m_path / name, std::ios::binary) << bytes;
  }

  fs::path m_path;
};

TEST_F(DataFolderTest, RestoresWrittenState) {
  EXPECT_FALSE(Open()->Write(
      {HardState{3, "other"}, MakeEntry(1, "a"), MakeEntry(2, "b")}));
  const auto folder = Open();
  EXPECT_EQ(folder->stored().m_instance, "new");
  EXPECT_EQ(folder->stored().m_hard.m_term, 3U);
  EXPECT_EQ(folder->stored().m_hard.m_voted_for, "other");
  ASSERT_EQ(folder->stored().m_log.m_entries.size(), 2U);
  EXPECT_EQ(folder->stored().m_log.m_entries[1].m_data.m_data, "b");
}

TEST_F(DataFolderTest, RestoresTruncations) {
  EXPECT_FALSE(Open()->Write({MakeEntry(1, "a"), MakeEntry(2, "b"),
                              TruncateWrite{2}, MakeEntry(2, "c")}));
  EXPECT_EQ(Open()->stored().m_log.m_entries[1].m_data.m_data, "c");
}

TEST_F(DataFolderTest, ASnapshotShortensTheJournal) {
  auto folder = Open();
  std::vector<RaftWrite> writes;
  for (std::uint64_t i = 1; i <= 500; ++i) {
    writes.emplace_back(MakeEntry(i, std::string(100, 'x')));
  }
  EXPECT_FALSE(folder->Write(writes));
  const std::size_t bytes_before = folder->journal_bytes();
  RaftSnapshot snapshot;
  snapshot.m_index = 490;
  snapshot.m_term = 1;
  snapshot.m_data = "state";
  EXPECT_FALSE(folder->Write({snapshot}));
  EXPECT_LT(folder->journal_bytes(), bytes_before / 10);
  folder.reset();
  const auto reopened = Open();
  EXPECT_EQ(reopened->stored().m_log.m_snapshot.m_data, "state");
  EXPECT_EQ(LastIndex(reopened->stored().m_log), 500U);
}

TEST_F(DataFolderTest, TruncatesATornTailAndAppendsAfterIt) {
  EXPECT_FALSE(Open()->Write({MakeEntry(1, "a"), MakeEntry(2, "b")}));
  std::string journal = Read("journal");
  journal.resize(journal.size() - 5);
  Write("journal", journal);
  auto folder = Open();
  EXPECT_GT(folder->stored().m_torn_bytes, 0U);
  EXPECT_EQ(LastIndex(folder->stored().m_log), 1U);
  EXPECT_FALSE(folder->Write({MakeEntry(2, "again")}));
  folder.reset();
  EXPECT_EQ(Open()->stored().m_log.m_entries[1].m_data.m_data, "again");
}

TEST_F(DataFolderTest, FailsToOpenACorruptJournal) {
  EXPECT_FALSE(Open()->Write({MakeEntry(1, "a"), MakeEntry(2, "b")}));
  std::string journal = Read("journal");
  journal[30] = static_cast<char>(journal[30] ^ 1);
  Write("journal", journal);
  const auto folder = DataFolder::Open(m_path.string(), "new");
  ASSERT_FALSE(folder);
  EXPECT_NE(folder.reason().find("damaged record at byte 0"), std::string::npos)
      << folder.reason();
}

TEST_F(DataFolderTest, FailsToOpenWithoutItsJournal) {
  {
    auto folder = Open();
    RaftSnapshot snapshot;
    snapshot.m_index = 1;
    EXPECT_FALSE(folder->Write({MakeEntry(1, "a"), snapshot}));
  }
  fs::remove(m_path / "journal");
  EXPECT_FALSE(DataFolder::Open(m_path.string(), "new"));
}

TEST_F(DataFolderTest, AWipedFolderGetsANewInstance) {
  (void)Open();
  fs::remove_all(m_path);
  const auto folder = DataFolder::Open(m_path.string(), "newer");
  ASSERT_TRUE(folder);
  EXPECT_EQ((*folder)->stored().m_instance, "newer");
}

TEST_F(DataFolderTest, FailsToOpenAFolderInUse) {
  const auto folder = Open();
  EXPECT_FALSE(DataFolder::Open(m_path.string(), "new"));
}

}  // namespace
}  // namespace hemlockpoint
