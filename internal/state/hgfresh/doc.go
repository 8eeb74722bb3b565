// Package hgfresh decides whether a VM may still serve keys. A VM that is cut off does not hear that a key was removed, so its
// permission expires: it lasts only while the VM can prove that its desired state was the newest less than a limit ago.
package hgfresh
