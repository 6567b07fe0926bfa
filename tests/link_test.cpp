#include <cassert>
int main(){}
