/*
 * Launcher of the single-file binary.
 *
 * The bundle of the program is appended to this executable. It is unpacked
 * once per user and content into a directory that all processes of the host
 * share; then the launcher replaces itself with the program by exec, without
 * starting another process.
 *
 * Layout after the executable: entries, then the trailer. Integers have the
 * byte order of the host, since launcher and bundle are built together.
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

/* Creates the directory, which only this user may own and access. */
static void make_private_directory(const char *path)
{
    struct stat status;

    if (mkdir(path, 0700) != 0 && errno != EEXIST)
        fail("cannot create %s; set " DIRECTORY_VARIABLE
             " to another directory", path);
    if (lstat(path, &status) != 0)
        fail("cannot stat %s", path);
    errno = EPERM;
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid()
        || (status.st_mode & 077) != 0)
        fail("%s is not a directory of this user alone", path);
}

/* Creates the parent directories of a file below the root. */
static void make_parent_directories(char *path, size_t root_length)
{
    char *slash = path + root_length + 1;

    while ((slash = strchr(slash, '/')) != NULL) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("cannot create %s", path);
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
 * Writes a file under a temporary name that contains the process id and renames
 * it, so that processes that start at the same time never see a partial file.
 */
static void unpack_file(int bundle, off_t offset, const struct entry *entry,
                        const char *path)
{
    static char buffer[BUFFER_BYTES];
    char temporary[PATH_MAX];
    uint64_t remaining = entry->size;
    int file;

    if (snprintf(temporary, sizeof temporary, "%s.%ld", path, (long)getpid())
        >= (int)sizeof temporary)
        fail_damaged();
    file = open(temporary,
                O_WRONLY | O_CREAT | O_TRUNC | O_NOFOLLOW | O_CLOEXEC,
                entry->mode & 0700);
    if (file < 0)
        fail("cannot write %s", temporary);
    while (remaining > 0) {
        size_t part = remaining < sizeof buffer ? (size_t)remaining
                                                : sizeof buffer;
        read_at(bundle, buffer, part, offset);
        write_all(file, buffer, part, temporary);
        offset += (off_t)part;
        remaining -= part;
    }
    if (close(file) != 0 || rename(temporary, path) != 0)
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
            make_parent_directories(path, root_length);
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
        fail("the path of the unpack directory is too long");
    }
    make_private_directory(root);
    unpack(bundle, &trailer, root);
    snprintf(program, sizeof program, "%s/" PROGRAM, root);
    execv(program, arguments);
    fail("cannot run %s; set " DIRECTORY_VARIABLE " to another directory",
         program);
}
