/*
 * Launcher of the one binary.
 *
 * The bundle of the program is appended to this executable. It is unpacked
 * once for each user and content into a directory that all processes of the
 * host share; then the launcher becomes the program by exec. No process is
 * started on the way.
 *
 * Layout after the executable: entries, then the trailer. Integers are of the
 * host's byte order, as the launcher is built together with its bundle.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
#define DIGEST_BYTES 32
#define MAGIC_BYTES 16
#define EXIT_UNUSABLE 126
#define PROGRAM "carobwalk"
#define DIRECTORY_VARIABLE "CAROBWALK_UNPACK_DIR"

static const char MAGIC[MAGIC_BYTES] = "carobwalk-bundle";

struct trailer {
    uint64_t entries_offset;
    uint64_t entry_count;
    char digest[DIGEST_BYTES]; /* hexadecimal digits, no terminator */
    char magic[MAGIC_BYTES];
};

struct entry {
    uint64_t size;
    uint32_t mode;
    uint32_t path_length;
    /* followed by the path, then by the content */
};

__attribute__((noreturn, format(printf, 1, 2)))
static void fail(const char *format, ...)
{
    va_list arguments;
    int error = errno;

    va_start(arguments, format);
    fputs(PROGRAM ": ", stderr);
    vfprintf(stderr, format, arguments);
    va_end(arguments);
    fprintf(stderr, ": %s\n", strerror(error));
    exit(EXIT_UNUSABLE);
}

__attribute__((noreturn))
static void fail_damaged(void)
{
    errno = EBADMSG;
    fail("the binary is damaged");
}

static void read_at(int file, void *target, size_t size, off_t offset)
{
    char *position = target;

    while (size > 0) {
        ssize_t count = pread(file, position, size, offset);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            fail_damaged();
        position += count;
        offset += count;
        size -= (size_t)count;
    }
}

static void write_all(int file, const char *source, size_t size,
                      const char *path)
{
    while (size > 0) {
        ssize_t count = write(file, source, size);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            fail("cannot write %s", path);
        source += count;
        size -= (size_t)count;
    }
}

/* Make the directory, which must belong to this user alone. */
static void make_private(const char *path)
{
    struct stat status;

    if (mkdir(path, 0700) != 0 && errno != EEXIST)
        fail("cannot make %s; " DIRECTORY_VARIABLE " names another place",
             path);
    if (lstat(path, &status) != 0)
        fail("cannot look at %s", path);
    errno = EPERM;
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid()
        || (status.st_mode & 077) != 0)
        fail("%s is not a directory of this user alone", path);
}

/* Make the directories on the way to a file below the root. */
static void make_parents(char *path, size_t root_length)
{
    char *slash = path + root_length + 1;

    while ((slash = strchr(slash, '/')) != NULL) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("cannot make %s", path);
        *slash = '/';
        slash++;
    }
}

static int is_unpacked(const char *path, const struct entry *entry)
{
    struct stat status;

    return lstat(path, &status) == 0 && S_ISREG(status.st_mode)
        && status.st_uid == geteuid()
        && (uint64_t)status.st_size == entry->size;
}

/*
 * Write a file under a name of this process and move it into place, so that
 * processes that start at the same time never see a part of it.
 */
static void unpack_file(int bundle, off_t offset, const struct entry *entry,
                        const char *path)
{
    static char buffer[BUFFER_BYTES];
    char draft[PATH_MAX];
    uint64_t rest = entry->size;
    int file;

    if (snprintf(draft, sizeof draft, "%s.%ld", path, (long)getpid())
        >= (int)sizeof draft)
        fail_damaged();
    file = open(draft, O_WRONLY | O_CREAT | O_TRUNC | O_NOFOLLOW | O_CLOEXEC,
                entry->mode & 0700);
    if (file < 0)
        fail("cannot write %s", draft);
    while (rest > 0) {
        size_t part = rest < sizeof buffer ? (size_t)rest : sizeof buffer;
        read_at(bundle, buffer, part, offset);
        write_all(file, buffer, part, draft);
        offset += (off_t)part;
        rest -= part;
    }
    if (close(file) != 0 || rename(draft, path) != 0)
        fail("cannot write %s", path);
}

static void unpack(int bundle, const struct trailer *trailer, const char *root)
{
    off_t offset = (off_t)trailer->entries_offset;
    size_t root_length = strlen(root);
    struct entry entry;
    char path[PATH_MAX];

    for (uint64_t number = 0; number < trailer->entry_count; number++) {
        read_at(bundle, &entry, sizeof entry, offset);
        offset += (off_t)sizeof entry;
        if (root_length + 1 + entry.path_length >= sizeof path)
            fail_damaged();
        memcpy(path, root, root_length);
        path[root_length] = '/';
        read_at(bundle, path + root_length + 1, entry.path_length, offset);
        path[root_length + 1 + entry.path_length] = '\0';
        offset += entry.path_length;
        if (!is_unpacked(path, &entry)) {
            make_parents(path, root_length);
            unpack_file(bundle, offset, &entry, path);
        }
        offset += (off_t)entry.size;
    }
}

static int open_bundle(struct trailer *trailer)
{
    int bundle = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    struct stat status;

    if (bundle < 0 || fstat(bundle, &status) != 0)
        fail("cannot read the binary");
    if (status.st_size < (off_t)sizeof *trailer)
        fail_damaged();
    read_at(bundle, trailer, sizeof *trailer,
            status.st_size - (off_t)sizeof *trailer);
    if (memcmp(trailer->magic, MAGIC, MAGIC_BYTES) != 0)
        fail_damaged();
    return bundle;
}

static const char *parent_directory(void)
{
    const char *names[] = {DIRECTORY_VARIABLE, "TMPDIR"};

    for (size_t number = 0; number < sizeof names / sizeof *names; number++) {
        const char *path = getenv(names[number]);
        if (path != NULL && path[0] == '/')
            return path;
    }
    return "/tmp";
}

int main(int count, char **arguments)
{
    struct trailer trailer;
    char root[PATH_MAX / 2];
    char program[PATH_MAX];
    int bundle = open_bundle(&trailer);

    (void)count;
    if (snprintf(root, sizeof root, "%s/" PROGRAM "-%ld-%.*s",
                 parent_directory(), (long)geteuid(), DIGEST_BYTES,
                 trailer.digest)
        >= (int)sizeof root) {
        errno = ENAMETOOLONG;
        fail("the directory to unpack to is too long");
    }
    make_private(root);
    unpack(bundle, &trailer, root);
    snprintf(program, sizeof program, "%s/" PROGRAM, root);
    execv(program, arguments);
    fail("cannot run %s; " DIRECTORY_VARIABLE " names another place", program);
}
