// Package bytediff describes a text as parts of an earlier one and new bytes between them. The
// parts are found with a rolling hash over blocks of the earlier text, as in A. Tridgell and P.
// Mackerras, "The rsync algorithm", TR-CS-96-05, Australian National University, 1996. Both texts
// are at hand, so matches are compared byte by byte and the hash need not be strong.
package bytediff
